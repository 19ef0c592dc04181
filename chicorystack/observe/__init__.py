"""Logs, metrics, decision records and invariants."""
