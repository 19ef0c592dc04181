"""Keeps a call that crashes targets from being run again and again."""
