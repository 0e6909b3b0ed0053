"""Decisions whose state lives as long as the process."""
