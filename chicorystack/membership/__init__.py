"""Availability of targets and routers, and readiness of services."""
