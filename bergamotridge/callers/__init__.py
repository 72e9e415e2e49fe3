"""Callers: the HTTP port for callers, admission of their calls, and their keys."""
