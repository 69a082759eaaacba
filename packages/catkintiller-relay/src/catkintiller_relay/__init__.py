"""The node of catkintiller on VMs whose platform keeps a store."""
