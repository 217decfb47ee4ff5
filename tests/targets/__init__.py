"""Tests of balsamhinge.targets."""
