"""Soak of the nodes as the platform starts them; see docs/soak.md."""
