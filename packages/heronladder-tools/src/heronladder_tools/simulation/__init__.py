"""The whole fleet in one process, in virtual time, under failures."""
