"""State with the lifetime of a configuration version."""
