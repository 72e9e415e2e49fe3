"""Notices of upstreams on other hosts: which answer withdraws or replaces them."""

import pytest

from bergamotridge.upstreams import known_notices, notice

FIRST, RESTARTED = notice.UpstreamId("i-1", 1000), notice.UpstreamId("i-1", 2000)
LIMITED = notice.UpstreamNotice(FIRST, notice.Notice(40.0))
LEAVING = notice.UpstreamNotice(FIRST, notice.Notice(leaving=True))
LIMITED_AGAIN = notice.UpstreamNotice(RESTARTED, notice.Notice(30.0))


@pytest.mark.parametrize(
    ("known", "received", "sent_at", "kept"),
    [
        (LEAVING, None, 4.9, LEAVING),
        (LEAVING, None, 5.0, None),
        (LEAVING, LIMITED, 4.9, LEAVING),
        (LIMITED, LEAVING, 4.9, LEAVING),
        (LIMITED_AGAIN, LEAVING, 4.9, LIMITED_AGAIN),
        (LEAVING, LIMITED_AGAIN, 4.9, LIMITED_AGAIN),
        (LEAVING, LIMITED_AGAIN, 5.0, LIMITED_AGAIN),
    ],
)
def test_only_the_answer_to_a_later_call_takes_a_notice_back(known, received, sent_at, kept):
    notices = known_notices.KnownNotices()
    notices.record("h1", known, 4.0, 5.0)
    notices.record("h1", received, sent_at, 6.0)
    assert notices.notice_of("h1") == kept
    assert notices.notice_of("h2") is None
