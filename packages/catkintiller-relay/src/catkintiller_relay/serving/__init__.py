"""The side of the endpoint: queue, limit, connections, announcements."""
