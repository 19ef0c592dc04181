"""Stand-ins for the platform and targets, for tests and development."""
