"""Identifies customers by their keys, and checks that keys are valid."""
