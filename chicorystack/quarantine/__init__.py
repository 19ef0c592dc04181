"""Stops running requests that crash each target they run on."""
