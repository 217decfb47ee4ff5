"""Controllers: the state of one instance, all on its event loop."""
