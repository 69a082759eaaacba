"""Stand-ins for the platform, endpoints and clients, with load and fault tools."""
