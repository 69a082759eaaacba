"""The node of catkintiller: one small process beside each endpoint."""
