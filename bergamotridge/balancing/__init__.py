"""Decisions by which calls are spread over the upstreams of a service; no clock, no socket."""
