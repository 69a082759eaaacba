"""Customers: who sends a request, and which keys are in force."""
