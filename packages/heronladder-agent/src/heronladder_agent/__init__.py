"""Agent role: the gate before one back end."""
