"""Adapter to the platform: decodes its names, formats and calls into the types of this project."""
