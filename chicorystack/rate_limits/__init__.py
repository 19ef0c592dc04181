"""Keeps all routers together within the rates of calls that targets accept."""
