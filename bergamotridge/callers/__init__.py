"""The HTTP port for callers: admission of calls, API keys, team quotas and idempotency keys."""
