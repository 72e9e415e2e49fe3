"""The command line: one module per command, which defines its flags and runs it."""
