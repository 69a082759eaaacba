"""Overload control node for VMs whose platform provides a store."""
