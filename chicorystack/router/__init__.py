"""The chicory-router program."""
