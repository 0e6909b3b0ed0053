"""Scheduling state with the lifetime of the process."""
