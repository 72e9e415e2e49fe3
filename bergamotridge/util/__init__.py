"""General helpers that do not depend on the call or host model."""
