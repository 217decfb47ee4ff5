"""State of one instance, all on its loop."""
