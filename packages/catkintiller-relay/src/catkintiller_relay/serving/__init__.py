"""The local endpoint: its queue, concurrency limit, connections and state."""
