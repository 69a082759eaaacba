"""Stand-ins of the store, the endpoints, the clients and the platform for the cases."""
