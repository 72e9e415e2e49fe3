"""Stand-ins (test doubles) for outside systems, used only by tests, benchmarks and the demo."""
