"""Decisions whose state lives as long as a request."""
