"""Connections that several adapters share."""
