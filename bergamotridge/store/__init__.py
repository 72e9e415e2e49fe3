"""The platform: its object API, watches, and what the system keeps there."""
