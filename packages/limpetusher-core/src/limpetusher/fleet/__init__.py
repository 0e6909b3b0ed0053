"""Decisions of a router that shares targets with its peers without any shared writes.

Everything in this package is pure: no sockets, threads, clocks or global variables. Times are readings of the
monotonic clock in seconds, work is counted in tokens.
"""
