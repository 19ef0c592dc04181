"""Decides which calls of a service start, wait or are refused."""
