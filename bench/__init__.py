"""Development tools: demo, load program and measurements."""
