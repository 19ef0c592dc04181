"""Small stand-ins for the platform's store and engines, for development."""
