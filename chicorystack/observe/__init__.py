"""Logs, metrics and invariants."""
