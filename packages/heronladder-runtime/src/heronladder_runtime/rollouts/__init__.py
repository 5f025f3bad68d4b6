"""What a roll-out's leader and gateways both judge by: evidence and verdict."""
