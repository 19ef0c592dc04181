"""A router fleet that keeps spend within prepaid token budgets."""

__version__ = "0.1.0"
