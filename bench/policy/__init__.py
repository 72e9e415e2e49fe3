"""Simulation of both deployments in virtual time: the decision modules against a baseline."""
