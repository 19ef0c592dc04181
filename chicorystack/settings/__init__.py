"""Validated settings from flags and environment variables."""
