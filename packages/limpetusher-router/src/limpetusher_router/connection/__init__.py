"""State that lives as long as a connection: callers, targets and peers."""
