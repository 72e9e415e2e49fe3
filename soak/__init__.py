"""Randomized fault soak: real processes under seeded faults from outside; run it by `make soak`."""
