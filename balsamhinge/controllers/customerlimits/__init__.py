"""Rate limits of customers over all instances of a fleet."""
