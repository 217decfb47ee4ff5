"""The platform's object store."""
