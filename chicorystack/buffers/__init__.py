"""Bytes held for callers that read or send slowly, within a budget."""
