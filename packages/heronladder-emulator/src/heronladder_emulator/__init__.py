"""Stand-ins for what heronladder talks to."""
