"""The heronladder daemon."""
