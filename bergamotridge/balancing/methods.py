"""The strategies by the name that the setting `balancing.method` gives them."""

import random
from collections.abc import Callable, Mapping

from bergamotridge.balancing import expected_wait, least_loaded, strategy

METHODS: Mapping[str, Callable[[random.Random], strategy.Strategy]] = {
    "least-loaded": least_loaded.LeastLoaded,
    "expected-wait": expected_wait.ExpectedWait,
}
