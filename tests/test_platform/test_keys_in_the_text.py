"""Keys that are part of the operator's text can't be withdrawn at a node."""

import pytest
from hosting import node_environment

from bergamotridge import errors
from bergamotridge.operators import client
from standins import processes
from tests.test_platform import beside_a_node, test_process_start

TIMEOUT_S = 10.0


# A node confirmed a withdrawal that no check of a key ever looks at, and the key stayed in force.
def test_a_withdrawal_that_has_no_effect_is_not_confirmed(tmp_path):
    program = test_process_start.Program(tmp_path)
    internal, _, _, ready, _, _, store = program.ports
    with beside_a_node.serve_store(store):
        process = program.start()
        try:
            processes.wait_until(lambda: beside_a_node.is_ready(ready), "the node is ready")
            operator_client = client.OperatorClient(f"127.0.0.1:{internal + 1}", TIMEOUT_S)
            with pytest.raises(errors.OperatorPortError, match=r"404.*the operator's text"):
                operator_client.withdraw("k1", node_environment.FLEET_SECRET)
        finally:
            process.kill()
            process.wait()
