"""Decisions of the node where a request arrives: route, admit, place, retry."""
