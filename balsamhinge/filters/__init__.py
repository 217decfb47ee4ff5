"""Filter chains for requests, at entry instances and owners of targets."""
