"""Refuses requests that crash each target that runs them."""
