"""Clients of the platform: the log service and the VM list."""
