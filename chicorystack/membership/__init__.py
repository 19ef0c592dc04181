"""Who takes new work: VM list, own observation and each one's own word."""
