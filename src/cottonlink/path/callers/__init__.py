"""The side of a node that callers connect to: HTTP connections, requests and their responses."""
