"""Evacuated data centres, and the regions in which calls may run."""
