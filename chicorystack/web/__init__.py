"""HTTP helpers on twisted.web, shared by all programs."""
