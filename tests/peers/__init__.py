"""Tests of balsamhinge.peers."""
