"""Tests of the filter chains."""
