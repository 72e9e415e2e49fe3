import sys

from tests import source

sys.path.append(str(source.ROOT / "platform"))
