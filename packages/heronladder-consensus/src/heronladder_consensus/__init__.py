"""Raft-style replicated log of the heronladder control plane."""
