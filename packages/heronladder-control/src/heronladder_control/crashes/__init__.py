"""Detection and refusal of requests that crash the replicas that run them."""
