"""Tests of balsamhinge.platform."""
