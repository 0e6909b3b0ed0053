"""Process-wide components: core adapter, deadlines, metrics, tracing, logs and admin server."""
