"""Small stand-ins for the platform and targets, for development."""
