"""Settings, log client, messages between nodes and decision logic of catkintiller."""
