"""Runtime of a node: settings, listeners, forwarding and control tasks."""
