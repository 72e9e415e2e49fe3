"""For operators: their text (the configuration), reports on the fleet, and the operators' port."""
