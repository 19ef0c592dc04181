"""Checked settings, read from flags and environment variables."""
