"""Demonstration of a whole fleet on one machine, under load and faults; run it by `make demo`."""
