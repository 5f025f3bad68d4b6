"""The replicated log of heronladder."""
