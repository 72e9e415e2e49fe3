"""Fixtures shared by tests of several packages."""

import pytest

from standins import platform


@pytest.fixture
def server():
    """A stand-in for the platform that serves on threads of this process."""
    server = platform.start("127.0.0.1:0")
    yield server
    server.shutdown()
    server.server_close()
