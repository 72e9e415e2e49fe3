"""The fleet of the model: nodes, their upstreams, and the way of a call between them."""

import random
from collections.abc import Callable

import attrs

from bench.policy import baseline, deployment, loop, upstream
from bergamotridge import call, errors
from bergamotridge.callers import shedding
from bergamotridge.nodes import budget, choice, load, record
from bergamotridge.operators import operator_text
from bergamotridge.upstreams import admission, outcome, queue

WITHIN_S = 0.0001
QUEUE_ROOM = 64
RETRIES = 2
HEALTH_LAG_S = 2.0


@attrs.frozen
class Policy:
    """Which decisions are in force.

    Attributes:
        name: Name in the tables.
        baseline: True for fixed limits, first in first out and plain retries.
        thresholds: True to shed at the first node.
        fairness: True to tell teams apart.
        budgets: True to bound retries by a ratio of first attempts.
    """

    name: str
    baseline: bool = False
    thresholds: bool = True
    fairness: bool = True
    budgets: bool = True


OURS = Policy("ours")
BASELINE = Policy("baseline", baseline=True)


@attrs.define(eq=False)
class Request:
    """One try of a client."""

    request_id: str
    team: str
    route: operator_text.Route
    path: tuple[str, ...]
    deadline: float
    worked_s: float = 0.0
    retries: int = 0
    started: bool = False


@attrs.frozen
class Answer:
    """Answer of one hop: whether it is good, and whether the call may be sent again."""

    good: bool
    repeatable: bool
    unused: int = 0


class Node:
    """A node and the upstream beside it."""

    def __init__(
        self, world: "World", service: str, domain: int, rng: random.Random, policy: Policy
    ) -> None:
        described = world.deployment.text.services[service]
        self.host = f"{service}-{domain}"
        self.service = service
        self.domain = domain
        self.alive = True
        self.said = record.State.READY
        self.upstream = upstream.Upstream(
            world.loop,
            described.slots,
            world.deployment.work_s[service],
            rng,
            obeys=not policy.baseline,
        )
        self.thresholds = shedding.ThresholdTable()
        self.budget = budget.RetryBudget()
        if policy.baseline:
            self.admission = baseline.FifoAdmission(described.slots, described.connections)
            self.chooser = baseline.RoundRobin()
        else:
            self.admission = admission.Admission(described.slots, QUEUE_ROOM, described.connections)
            self.chooser = choice.UpstreamChooser(self.host, str(domain), "region", rng)
            self.announce(record.State.READY, 0.0)

    def announce(self, state: record.State, now: float) -> None:
        """Lets the upstream announce itself with the slots of the text."""
        if isinstance(self.admission, admission.Admission):
            self.admission.apply_announcement(state, 10_000, 10_000, now)

    def record(self) -> record.UpstreamRecord:
        """Returns what the other nodes believe; its load is a lie."""
        return record.UpstreamRecord(
            self.host, 1, 1, str(self.domain), "region", self.service, self.said, 50, 0.0, "", ""
        )


class World:
    """All nodes of a deployment under one policy."""

    def __init__(self, described: deployment.Deployment, policy: Policy, seed: int) -> None:
        self.loop = loop.Loop()
        self.deployment = described
        self.policy = policy
        self.rng = random.Random(seed)
        self.nodes = {
            node.host: node
            for service in described.work_s
            for domain in range(deployment.DOMAINS)
            for node in [Node(self, service, domain, self.rng, policy)]
        }
        self._alive: list[Node] = []
        self._records: dict[str, list[record.UpstreamRecord]] = {}
        self.publish()

    def publish(self) -> None:
        """Spreads what the upstreams say of themselves to all nodes."""
        self._alive = [node for node in self.nodes.values() if node.alive]
        self._records = {service: [] for service in self.deployment.work_s}
        for node in self.nodes.values():
            self._records[node.service].append(node.record())

    def records(self, service: str) -> list[record.UpstreamRecord]:
        """Returns the records of a service."""
        return self._records[service]

    def of_service(self, service: str) -> list[Node]:
        """Returns the nodes beside the upstreams of a service."""
        return [node for node in self.nodes.values() if node.service == service]

    def kill(self, node: Node) -> None:
        """Kills a host; the others hear of it late."""
        node.alive = False
        self.publish()
        node.upstream.kill()
        self._later_said(node, record.State.LOST)

    def revive(self, node: Node, cold_calls: int) -> None:
        """Starts a killed host again with a cold upstream."""
        node.alive = True
        node.upstream.revive(cold_calls)
        node.announce(record.State.LOST, self.loop.now)
        node.announce(record.State.READY, self.loop.now)
        self._later_said(node, record.State.READY)

    def send(self, request: Request, done: Callable[[bool], None]) -> None:
        """Sends a client's try to a random node."""
        origin = self.rng.choice(self._alive)
        now = self.loop.now
        if self.policy.thresholds and not self.policy.baseline:
            try:
                origin.thresholds.check(
                    request.request_id,
                    request.route.importance,
                    request.path,
                    now,
                    team=self.team(request),
                )
            except errors.CallError:
                done(False)
                return
        allowance = call.Allowance(RETRIES)
        Hop(self, request, origin, 0, allowance, lambda answer: done(answer.good)).attempt()

    def team(self, request: Request) -> str:
        """Returns the team by which a request is treated."""
        return request.team if self.policy.fairness else ""

    def delay_s(self, one: Node, other: Node) -> float:
        """Returns the one-way delay between two nodes."""
        return WITHIN_S if one.domain == other.domain else self.deployment.between_s

    def _later_said(self, node: Node, state: record.State) -> None:
        def said() -> None:
            node.said = state
            self.publish()

        self.loop.after(HEALTH_LAG_S, said)


class Hop:
    """The call of one service on a request's path, with its attempts."""

    def __init__(
        self,
        world: World,
        request: Request,
        origin: Node,
        index: int,
        allowance: call.Allowance,
        done: Callable[[Answer], None],
    ) -> None:
        self._world = world
        self._request = request
        self._origin = origin
        self._index = index
        self._allowance = allowance
        self._done = done
        self._service = request.path[index]
        self._excluded: set[str] = set()
        self._attempts = 0
        origin.budget.add_first_attempt(self._service, world.loop.now)

    def attempt(self) -> None:
        """Sends the call once."""
        now = self._world.loop.now
        chosen = self._origin.chooser.choose(
            self._world.records(self._service),
            self._excluded,
            now,
            self._request.route.repeatable,
        )
        if chosen is None:
            self._finish(False, repeatable=True)
            return
        self._attempts += 1
        if self._attempts > 1:
            self._request.retries += 1
        Attempt(self, self._world.nodes[chosen.host], now).send()

    def ended(
        self, target: Node, result: outcome.Outcome, not_run: bool, good: bool, sent_at: float
    ) -> None:
        """Takes the end of an attempt and tries again if that is allowed."""
        now = self._world.loop.now
        self._origin.chooser.record_outcome(
            target.host, result, self._report(target), now - sent_at, now
        )
        if good or not self._may_retry(result, not_run):
            self._finish(good, repeatable=not_run)
            return
        self._excluded.add(target.host)
        self.attempt()

    @property
    def world(self) -> World:
        """The fleet."""
        return self._world

    @property
    def request(self) -> Request:
        """The client's try."""
        return self._request

    @property
    def origin(self) -> Node:
        """The node that sends."""
        return self._origin

    @property
    def index(self) -> int:
        """Position of the service on the request's path."""
        return self._index

    @property
    def allowance(self) -> call.Allowance:
        """Retries left at the sending node."""
        return self._allowance

    def _report(self, target: Node) -> load.LoadReport | None:
        if not target.alive:
            return None
        now = self._world.loop.now
        report = target.admission.report(now)
        if not self._world.policy.baseline:
            below = self._request.path[self._index + 1 :]
            told = target.thresholds.encode(below, now)
            self._origin.thresholds.merge(told, below, now)
            self._origin.thresholds.observe(self._service, report.threshold, now, target.host)
        return report

    def _may_retry(self, result: outcome.Outcome, not_run: bool) -> bool:
        now = self._world.loop.now
        if self._world.policy.baseline:
            return self._attempts <= RETRIES
        if now >= self._request.deadline:
            return False
        failed = result in (outcome.Outcome.FAILED, outcome.Outcome.REFUSED)
        if not not_run and not (failed and self._request.route.repeatable):
            return False
        budgets = self._world.policy.budgets
        if budgets and not self._origin.budget.try_take(self._service, now):
            return False
        return self._allowance.spend()

    def _finish(self, good: bool, *, repeatable: bool) -> None:
        self._done(Answer(good, repeatable))


class Attempt:
    """One attempt of a hop at one node."""

    def __init__(self, hop: Hop, target: Node, sent_at: float) -> None:
        self._hop = hop
        self._world = hop.world
        self._target = target
        self._sent_at = sent_at
        self._delay_s = self._world.delay_s(hop.origin, target)
        self._granted = hop.allowance.grant()
        self._below = call.Allowance(self._granted)
        self._entry: queue.Entry | None = None
        self._answered = False

    def send(self) -> None:
        """Sends the call; the baseline waits no longer than the route's timeout for each hop."""
        self._world.loop.after(self._delay_s, self._arrive)
        if self._world.policy.baseline:
            timeout_s = self._hop.request.route.timeout_s
            self._world.loop.after(timeout_s, lambda: self._back(outcome.Outcome.TIMED_OUT))

    def _arrive(self) -> None:
        if not self._target.alive:
            self._answer(outcome.Outcome.REFUSED, not_run=True)
            return
        request = self._hop.request
        context = call.CallContext(
            request.request_id,
            self._world.team(request),
            request.route.importance,
            request.deadline,
            self._hop.index,
            request.route.repeatable,
            self._weight(request),
        )
        try:
            self._entry = self._target.admission.offer(
                context, self._world.loop.now, lambda _: self._settled()
            )
        except errors.CallError:
            self._answer(outcome.Outcome.SHED, not_run=True)
            return
        if self._entry.state is queue.EntryState.STARTED:
            self._settled()
        else:
            self._world.loop.after(
                max(0.0, context.deadline - self._world.loop.now),
                lambda: self._target.admission.withdraw(self._entry, "deadline"),
            )

    def _weight(self, request: Request) -> float:
        team = self._world.deployment.text.teams.get(request.team)
        return team.weight if team else 1.0

    def _settled(self) -> None:
        if self._entry.state is queue.EntryState.REFUSED:
            self._answer(outcome.Outcome.SHED, not_run=True)
            return
        request = self._hop.request
        request.started = True
        last = self._hop.index + 1 == len(request.path)
        below = None if last else self._call_below
        self._target.upstream.accept(upstream.Run(request.deadline, below, self._ran))

    def _call_below(self, run: upstream.Run) -> None:
        Hop(
            self._world,
            self._hop.request,
            self._target,
            self._hop.index + 1,
            self._below,
            lambda answer: self._target.upstream.below_done(run, answer.good),
        ).attempt()

    def _ran(self, run: upstream.Run, result: outcome.Outcome) -> None:
        self._hop.request.worked_s += run.worked_s
        self._target.admission.finish(self._entry, result, self._world.loop.now)
        shed = result in (outcome.Outcome.SHED, outcome.Outcome.REFUSED)
        self._answer(result, not_run=shed)

    def _answer(self, result: outcome.Outcome, *, not_run: bool = False) -> None:
        self._world.loop.after(self._delay_s, lambda: self._back(result, not_run))

    def _back(self, result: outcome.Outcome, not_run: bool = False) -> None:
        if self._answered:
            return
        self._answered = True
        self._hop.allowance.give_back(self._below.drain(), self._granted)
        good = result is outcome.Outcome.OK
        self._hop.ended(self._target, result, not_run, good, self._sent_at)
