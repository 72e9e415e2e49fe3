"""Runs the requests of one connection, several at once where a client pipelines them."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import attrs

from bergamotridge.util import cancellation, held_bytes, message

MIN_HELD_BYTES = 65_536  # Shorter responses that wait for their turn are not counted.
NO_ROOM = "no-room"  # Cause of an end: no room for the responses that wait.


def _overlap_none(request: message.Request) -> bool:
    del request
    return False


def _ignore_wait(wait_s: float) -> None:
    del wait_s


@attrs.frozen
class Policy:
    """Which requests of one connection run at the same time.

    Attributes:
        limit: Requests of a connection that may run at once.
        may_overlap: Returns whether a request may run beside others of its connection. It must be
            idempotent: the client sends it again if an answer before it closes the connection.
        record_wait: Called for each response that was ready before its turn, with the seconds for
            which it waited.
    """

    limit: int = 1
    may_overlap: Callable[[message.Request], bool] = _overlap_none
    record_wait: Callable[[float], None] = _ignore_wait


@attrs.frozen
class Result:
    """The response to a request.

    Attributes:
        response: The response.
        keep_alive: True if the client wants to reuse the connection.
        is_head: True if the method of the request is HEAD.
    """

    response: message.Response
    keep_alive: bool
    is_head: bool


@attrs.define(eq=False)
class _Entry:
    """A request that runs, or has run and whose response waits for its turn.

    It is a reader (`held_bytes.Reader`) that takes nothing, so that waiting responses are the first
    to go where there is no room.

    Attributes:
        request: The request, None once it was handled.
        keep_alive: See `Result`.
        is_head: See `Result`.
        token: Its cancellation token.
        give_up: Closes the connection.
        task: Its task if it was started ahead of its turn, else None.
        started_at: Time of the loop at which its response was ready.
    """

    request: message.Request | None
    keep_alive: bool
    is_head: bool
    token: cancellation.Token
    give_up: Callable[[], None]
    task: asyncio.Task | None = None
    started_at: float = 0.0

    def bytes_per_s(self, now: float) -> float:
        """Returns 0.0, as the client gets nothing of a response that waits."""
        del now
        return 0.0


class Pipeline:
    """The requests of one connection that are being answered, in the order of their arrival.

    The first is answered next. Those behind it were started ahead of their turn, which is done only
    while all requests before them may overlap as well.
    """

    def __init__(
        self,
        policy: Policy,
        handle: Callable[[message.Request, cancellation.Token], Awaitable[message.Response]],
        memory: held_bytes.HeldBytes,
        close_for: Callable[[str], None],
        event_loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Creates a pipeline without requests.

        Args:
            policy: Which requests run at the same time.
            handle: Answers a request; raises nothing.
            memory: Account of the responses that wait for their turn.
            close_for: Closes the connection at once, for the cause that it is given.
            event_loop: The event loop of the connection.
        """
        self._policy = policy
        self._handle = handle
        self._memory = memory
        self._close_for = close_for
        self._event_loop = event_loop
        self._entries: collections.deque[_Entry] = collections.deque()
        self._is_dropped = False

    def __len__(self) -> int:
        """Returns how many requests run or wait for their turn to be answered."""
        return len(self._entries)

    @property
    def token(self) -> cancellation.Token | None:
        """Cancellation token of the request that is answered next, None if there is none."""
        return self._entries[0].token if self._entries else None

    def add(self, request: message.Request) -> None:
        """Adds the request that is answered next, to an empty pipeline."""
        self._entries.append(self._create_entry(request))

    def may_start(self, request: message.Request) -> bool:
        """Returns whether a request may be started ahead of its turn, behind all others."""
        if not self._entries or len(self._entries) >= self._policy.limit:
            return False
        return self._first_overlaps() and self._policy.may_overlap(request)

    def _first_overlaps(self) -> bool:
        """Returns whether the first request may overlap; all others may."""
        first = self._entries[0]
        if first.task is not None:
            return True
        # Once it is handled its answer is on the way, and the next request starts in its turn.
        return first.request is not None and self._policy.may_overlap(first.request)

    def start(self, request: message.Request) -> None:
        """Starts a request ahead of its turn; see `may_start`."""
        entry = self._create_entry(request)
        entry.task = self._event_loop.create_task(self._run_ahead(entry))
        self._entries.append(entry)

    async def finish_first(self) -> Result:
        """Returns the response to the first request, which stays until `remove_first`."""
        first = self._entries[0]
        if first.task is None:
            response = await self._run(first)
        else:
            if first.task.done():
                self._policy.record_wait(self._event_loop.time() - first.started_at)
            response = await first.task
            first.task = None
            self._memory.release_response(first)
        return Result(response, first.keep_alive, first.is_head)

    def remove_first(self) -> None:
        """Removes the first request, whose response was sent or dropped."""
        self._entries.popleft()

    def cancel(self) -> None:
        """Cancels all requests."""
        for entry in self._entries:
            entry.token.cancel()

    def drop(self) -> None:
        """Drops all responses, as the connection has ended."""
        self._is_dropped = True
        for entry in self._entries:
            self._memory.release_response(entry)
            # Its response is freed with it; the garbage collector may find the entry much later.
            entry.task = None

    def _create_entry(self, request: message.Request) -> _Entry:
        return _Entry(
            request,
            request.keep_alive,
            request.method == b"HEAD",
            cancellation.Token(),
            give_up=lambda: self._close_for(NO_ROOM),
        )

    async def _run(self, entry: _Entry) -> message.Response:
        try:
            return await self._handle(entry.request, entry.token)
        finally:
            entry.request = None

    async def _run_ahead(self, entry: _Entry) -> message.Response:
        response = await self._run(entry)
        entry.started_at = self._event_loop.time()
        if len(response.body) > MIN_HELD_BYTES and not self._is_dropped:
            self._memory.hold_response(entry, len(response.body))
        return response
