"""Fakes at the interfaces, for tests on the virtual clock."""
