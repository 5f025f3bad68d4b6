"""Router and gateway roles: admission, load balancing and forwarding of callers' requests."""
