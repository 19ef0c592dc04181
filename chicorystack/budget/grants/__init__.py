"""Grants: each router obtains tokens from the log by conditional appends."""
