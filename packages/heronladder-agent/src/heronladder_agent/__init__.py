"""Agent role: admits, runs and meters the requests to one backend."""
