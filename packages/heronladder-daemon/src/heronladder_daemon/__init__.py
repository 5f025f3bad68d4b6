"""The heronladder daemon: composes roles from settings and runs them in one process."""
