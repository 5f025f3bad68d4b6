"""Requests that crash the replicas that run them: evidence in the log, and what follows."""
