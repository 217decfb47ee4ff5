"""Tests of balsamhinge.policy."""
