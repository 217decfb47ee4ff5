"""Calls between instances, by gRPC."""
