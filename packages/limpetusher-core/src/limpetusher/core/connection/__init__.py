"""Decisions whose state lives as long as the connection to a peer."""
