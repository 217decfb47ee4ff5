"""Tests of balsamhinge.configuration."""
