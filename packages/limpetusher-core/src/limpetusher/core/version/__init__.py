"""Decisions whose state lives as long as a version of the configuration or of the host list."""
