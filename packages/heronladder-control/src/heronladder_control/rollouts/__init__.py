"""Roll-outs: their record in the log, and what the leader decides on them."""
