"""Emulation of services, their slots, nested calls and clients that retry."""
