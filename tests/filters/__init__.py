"""Tests of balsamhinge.filters."""
