"""State that lives as long as the process: core adapter, deadlines, metrics, tracing, logs, admin server."""
