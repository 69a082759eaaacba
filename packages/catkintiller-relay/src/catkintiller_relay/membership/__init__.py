"""Peer discovery through the store, and connections and messages between nodes."""
