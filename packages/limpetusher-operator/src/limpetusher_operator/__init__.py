"""Operator tool of the limpetusher router fleet."""
