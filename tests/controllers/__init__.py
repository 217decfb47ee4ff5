"""Tests of balsamhinge.controllers."""
