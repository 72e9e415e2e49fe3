"""Helpers with no knowledge of calls or hosts."""
