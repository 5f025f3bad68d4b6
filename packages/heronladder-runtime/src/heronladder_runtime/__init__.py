"""What all heronladder daemons share."""
