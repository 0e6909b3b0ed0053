"""Scheduling of targets that are shared by all routers of a fleet, without writes to a shared store.

This package uses no sockets, threads, clocks or mutable globals. Times are readings of the monotonic clock in
seconds; work is counted in tokens.
"""
