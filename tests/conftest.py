"""Fixtures that several areas share."""

import pytest

from standins import platform


@pytest.fixture
def server():
    """A platform on threads of this process."""
    server = platform.start("127.0.0.1:0")
    yield server
    server.shutdown()
    server.server_close()
