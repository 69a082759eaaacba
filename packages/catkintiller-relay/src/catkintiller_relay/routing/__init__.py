"""Routing, admission, endpoint selection and retries on the node of arrival."""
