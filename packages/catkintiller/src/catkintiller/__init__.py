"""Settings tree, log client, wire records and decision logic of catkintiller."""
