"""Adapter to the users' platform: names, formats and calls, decoded once into the project's own types."""
