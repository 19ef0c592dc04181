"""Stand-ins for the platform's store and engines, for tests and development."""
