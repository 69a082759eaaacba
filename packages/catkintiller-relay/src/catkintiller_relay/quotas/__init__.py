"""Limits on the requests of each customer that run at all nodes together."""
