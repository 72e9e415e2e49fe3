"""A step in which nodes get SIGHUP, once or several times, and SIGTERM right behind it."""

import random

MAX_RELOADS = 4
KIND = "reload and stop"


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws how many SIGHUP come right before the SIGTERM of each stop."""
    return stops | {"reloads": rng.randint(1, MAX_RELOADS)}
