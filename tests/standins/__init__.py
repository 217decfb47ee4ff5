"""Tests of balsamhinge.standins."""
