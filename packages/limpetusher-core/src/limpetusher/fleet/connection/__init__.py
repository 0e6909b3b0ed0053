"""Decisions that live as long as a connection between two routers."""
