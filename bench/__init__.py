"""Load and experiment tool; not part of the shipped package."""
