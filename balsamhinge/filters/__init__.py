"""The chains that a request passes."""
