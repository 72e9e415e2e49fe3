"""Other nodes: relayed calls, membership, choice of upstream, and shared allowances."""
