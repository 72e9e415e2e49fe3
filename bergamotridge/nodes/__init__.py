"""Communication with other nodes: relaying, membership, choice of upstream, shared budgets."""
