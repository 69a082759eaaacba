"""Server side of HTTP: receives requests and sends responses."""
