"""Events read back from log files tell the same story as the nodes' rings."""

import io

import pytest

from bergamotridge import errors, events, logs, settings
from bergamotridge.operators import explain, log_lines


@pytest.fixture
def written(tmp_path):
    """Returns a log file of two hosts, with text before the lines, and the events in it."""
    stream, kept = io.StringIO(), []
    for host in ("h1", "h2"):
        node = settings.NodeSettings(host=host, failure_domain="a")
        handler = logs.setup(node, 17, stream)
        log = events.EventLog(host, 17, "a")
        log.listen(logs.EventWriter())
        kept.append(log.emit("attempt.failed", "r1", "deadline", target="h3", service="fees"))
        kept.append(
            log.emit(
                "call.late", "r2", "target", path="/x", ms=900, target_ms=500, target="h4", load=1.5
            )
        )
        handler.pop_application()
    path = tmp_path / "node.log"
    lines = [f"  0.1 host {line}\n" for line in stream.getvalue().splitlines()]
    path.write_text("".join(["not a line\n", "{}\n", *lines]))
    return str(path), sorted(kept, key=lambda event: event.stamp)


def test_what_was_logged_is_read_back_whole_and_in_order(written):
    path, kept = written
    assert list(log_lines.history([path, path]).events) == kept


def test_one_request_is_explained_from_logs(written):
    path, _ = written
    told = "\n".join(explain.lines("r2", log_lines.history([path], "r2")))
    assert "was answered after 900 ms, its target is 500 ms; host 'h4' answered" in told
    assert "h3" not in told


def test_a_missing_file_is_named():
    with pytest.raises(errors.UsageError, match="nowhere"):
        log_lines.history(["nowhere"])
