"""A gateway's part in roll-outs: what may be sent to, and what it saw."""
