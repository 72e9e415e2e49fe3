"""The whole path on one machine, under load and faults: `make demo`."""
