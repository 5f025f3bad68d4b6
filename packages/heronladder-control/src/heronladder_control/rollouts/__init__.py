"""Rollouts of new software versions: the replicated record and the leader's decisions."""
