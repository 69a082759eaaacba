"""Emulates services, their slots, chains of calls and clients who come back."""
