"""Puts platform/ on the import path, so that the tests can import the package `hosting`."""

import sys

from tests import source

sys.path.append(str(source.ROOT / "platform"))
