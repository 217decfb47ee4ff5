"""Tests of balsamhinge.api."""
