"""A gateway's part in rollouts: which versions it may send to, and what it observes of them."""
