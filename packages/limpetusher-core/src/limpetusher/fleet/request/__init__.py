"""Scheduling state with the lifetime of a request."""
