"""Tests of callers' sessions."""
