"""Command line of heronladder operators."""
