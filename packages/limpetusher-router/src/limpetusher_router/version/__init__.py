"""Versioned documents of the platform: watch of the configuration service and reads of the host list."""
