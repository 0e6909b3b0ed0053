"""Handling of callers' requests: parsing, authentication, attempts at targets and relaying of answers."""
