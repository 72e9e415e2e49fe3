"""Upstreams: the loopback port for the local upstream, its limit and its queue."""
