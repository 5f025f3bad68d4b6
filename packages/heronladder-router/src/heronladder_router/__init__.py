"""Router role: callers, admission, balancing, forwarding."""
