"""Generated messages of heronladder."""
