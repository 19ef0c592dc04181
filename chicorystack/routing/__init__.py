"""Choice of a target for each call."""
