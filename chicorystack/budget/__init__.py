"""Prepaid budgets: the ledger, its keeper and the routers' wallets."""
