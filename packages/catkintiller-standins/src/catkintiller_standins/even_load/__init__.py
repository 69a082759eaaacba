"""Played loads of the selection of endpoints, without a network."""
