"""The chicory-agent program, which admits and runs a target's calls."""
