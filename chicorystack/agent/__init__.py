"""The chicory-agent program, the last gate before a target."""
