"""Connections to database targets."""
