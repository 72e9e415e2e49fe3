"""Operators: their text, their commands, and the port they look in through."""
