"""Calls, their idempotency keys, outcomes and answers."""
