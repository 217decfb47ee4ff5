"""Callers' sessions: their state, and how their statements run."""
