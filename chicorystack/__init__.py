"""A fleet of routers that enforces prepaid token budgets."""

__version__ = "0.1.0"
