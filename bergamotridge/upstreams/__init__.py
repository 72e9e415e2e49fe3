"""The upstream on this host: its loopback port, its concurrency limit and its admission queue."""
