"""State that lives as long as a version: watching the configuration service and the host list."""
