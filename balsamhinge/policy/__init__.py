"""Decisions without I/O: sockets, clock and randomness stay outside."""
