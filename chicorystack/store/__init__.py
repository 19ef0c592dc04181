"""Durable storage: topics of a log, compacted to the newest record per key."""
