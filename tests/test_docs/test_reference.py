"""The reference lists all metrics, event kinds and reasons that the source uses."""

import fnmatch

from bergamotridge import errors
from bergamotridge.operators import event_kinds, node_metrics, reasons, reference
from tests import source

REFUSAL_REASON_POSITION = 2


def test_the_page_matches_the_output_of_the_command():
    page = (source.ROOT / "docs" / "reference.md").read_text(encoding="utf-8")
    hint = "run: .venv/bin/python -m bergamotridge reference > docs/reference.md"
    assert page.splitlines() == list(reference.format_lines()), hint


def test_each_kind_of_event_is_in_the_table():
    used = {
        kind
        for _, call in source.calls("emit")
        if call.args
        for kind in source.strings(call.args[0])
    }
    unknown = [kind for kind in used if not fnmatch.filter(event_kinds.MEANING_BY_KIND, kind)]
    unused = [
        kind
        for kind in event_kinds.MEANING_BY_KIND
        if not any(fnmatch.fnmatch(kind, name) for name in used)
    ]
    assert (unknown, unused) == ([], []), "change operators/event_kinds.py"


def test_each_reason_is_in_the_table():
    used = set()
    for name in (errors.CallError.__name__, "refusal"):
        for _, call in source.calls(name):
            reason_nodes = [keyword.value for keyword in call.keywords if keyword.arg == "reason"]
            reason_nodes += call.args[REFUSAL_REASON_POSITION : REFUSAL_REASON_POSITION + 1]
            used |= {reason for node in reason_nodes for reason in source.strings(node)}
    assert used
    assert used - set(reasons.REASONS) == set(), "add them to operators/reasons.py"


def test_metrics_are_declared_in_one_module():
    declared_elsewhere = {
        path.name
        for name in ("counter", "gauge", "gauges", "histogram")
        for path, call in source.calls(name)
        if call.args and path.stem not in (node_metrics.__name__.rpartition(".")[2], "metrics")
    }
    assert declared_elsewhere == set()
