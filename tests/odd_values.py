"""Values that no reader expects, as JSON texts, for the tests of readers of foreign data."""

import json
from collections.abc import Mapping, Sequence

import hypothesis
from hypothesis import strategies as st

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def nested(levels: int) -> str:
    """Returns a JSON text of lists in lists."""
    return "[" * levels + "]" * levels


_NUMBERS = (
    *("-1", "0", "1", "0.5", "-0.0", "1e308", "-1e308", "1e400", "true", "false"),
    *(
        str(sign * (2**bits + more))
        for bits in (31, 32, 53, 63, 64)
        for more in (-1, 0)
        for sign in (1, -1)
    ),
    *(str(10**digits) for digits in (13, 18, 30, 400)),
)
_TEXTS = (
    *("", "x", "x" * 300, "\0", "a\r\nb: c", "\u00e9", "\u65e5\u672c", "\u00b2", "{}", "../x"),
    *("nan", "inf", "-inf", "infs", "nans", "-5ms", "1e999s", "9" * 5000, "9" * 5000 + "s", "1_0s"),
    *("1.2.3.4", ":80", "1.2.3.4:0", "1.2.3.4:99999", "1.2.3.4:-5", "[::1]:80", "unix:/x:1"),
    *("127.0.0.1:" + "9" * 30, "fe80::1%a:80", "ready", "lost", "well"),
)
_OTHERS = ("null", "{}", "[]", '[""]', '{"":""}', '"\\ud800"', "NaN", nested(300), nested(1000))

# JSON texts, some of which are no valid JSON.
TEXTS = st.sampled_from((*_NUMBERS, *_OTHERS, *(json.dumps(text) for text in _TEXTS)))
# Whole bodies.
BODIES = TEXTS.map(str.encode) | st.binary(max_size=40) | st.just(nested(2000).encode())


def object_text(fields: Mapping[str, str]) -> str:
    """Returns the JSON text of an object whose values are given as JSON texts."""
    return "{" + ",".join(f"{json.dumps(key)}:{text}" for key, text in fields.items()) + "}"


def list_text(items: Sequence[str]) -> str:
    """Returns the JSON text of a list whose items are given as JSON texts."""
    return "[" + ",".join(items) + "]"


def changed(valid: Mapping[str, object]) -> st.SearchStrategy[str]:
    """Returns texts of objects with one to three fields of `valid` that are odd or missing."""
    texts = {key: json.dumps(value) for key, value in valid.items()}
    changes = st.dictionaries(
        st.sampled_from(sorted(valid)), TEXTS | st.none(), min_size=1, max_size=3
    )

    def change(odd: dict[str, str | None]) -> str:
        fields = {key: odd.get(key, text) for key, text in texts.items()}
        return object_text({key: text for key, text in fields.items() if text is not None})

    return changes.map(change)
