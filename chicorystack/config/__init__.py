"""The configuration: its model, validation and versions."""
