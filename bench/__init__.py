"""Benchmarks: timings and policy tables, run by `make bench`."""
