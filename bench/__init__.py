"""Development tools: demos, load generator, fault tests and benchmarks."""
