"""Sessions of callers, and the connections their statements run on."""
