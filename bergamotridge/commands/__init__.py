"""Command line: one module per command, each parses flags and hands over."""
