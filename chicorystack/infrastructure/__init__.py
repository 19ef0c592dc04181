"""Clients of the platform's log service and VM list."""
