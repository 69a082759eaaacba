"""Stand-ins for the platform, endpoints and callers, and the tools that use them."""
