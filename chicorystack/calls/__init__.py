"""Calls, their keys, outcomes and answers."""
