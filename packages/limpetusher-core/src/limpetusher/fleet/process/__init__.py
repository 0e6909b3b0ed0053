"""Decisions that live as long as a process."""
