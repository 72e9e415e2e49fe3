"""The simulated fleet: nodes, their upstreams, and the calls between them."""

import random
from collections.abc import Callable

import attrs

from bench.policy import baseline, deployment, loop, upstream
from bergamotridge import call, errors
from bergamotridge.balancing import methods
from bergamotridge.callers import shedding
from bergamotridge.nodes import budget, choice, load, record
from bergamotridge.operators import operator_text
from bergamotridge.upstreams import admission, outcome, queue

DELAY_WITHIN_DOMAIN_S = 0.0001
QUEUE_LIMIT = 64
MAX_RETRIES = 2
STATE_DELAY_S = 2.0


@attrs.frozen
class Policy:
    """The decisions that the nodes of a run apply.

    Attributes:
        name: Name in the tables.
        baseline: True for fixed limits, FIFO queues and plain retries.
        thresholds: True if the first node sheds by the thresholds of the services on the path.
        fairness: True if each team gets its fair share, False if all count as one team.
        budgets: True if retries are limited to a ratio of the first attempts.
        balancing: Name of the strategy by which nodes choose upstreams.
    """

    name: str
    baseline: bool = False
    thresholds: bool = True
    fairness: bool = True
    budgets: bool = True
    balancing: str = "least-loaded"


OURS = Policy("ours")
BASELINE = Policy("baseline", baseline=True)


@attrs.define(eq=False)
class Request:
    """One try of a client.

    Attributes:
        request_id: Id of the request, another one for each try.
        team: Name of the team, "" on routes open to all.
        route: Its route.
        path: Chain of services in which each calls the next.
        deadline: Virtual time at which the client gives the try up, in seconds.
        worked_s: Service time spent on it at all upstreams, in seconds.
        retries: Number of retries at all hops.
        started: True once an upstream has started it.
    """

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
    """Answer of one hop.

    Attributes:
        good: True if the call succeeded.
        repeatable: True if the call did not run and may be sent again.
        unused: Number of retries that the hop has left.
    """

    good: bool
    repeatable: bool
    unused: int = 0


class Node:
    """A node and the upstream on the same host."""

    def __init__(
        self, world: "World", service: str, domain: int, rng: random.Random, policy: Policy
    ) -> None:
        described = world.deployment.text.services[service]
        self.host = f"{service}-{domain}"
        self.service = service
        self.domain = domain
        self.alive = True
        self.published_state = record.State.READY
        self.upstream = upstream.Upstream(
            world.loop,
            described.slots,
            world.deployment.service_time_s[service],
            rng,
            obeys_deadlines=not policy.baseline,
        )
        self.thresholds = shedding.ThresholdTable()
        self.budget = budget.RetryBudget()
        if policy.baseline:
            self.admission = baseline.FifoAdmission(described.slots, described.connections)
            self.chooser = baseline.RoundRobin()
        else:
            self.admission = admission.Admission(
                described.slots, QUEUE_LIMIT, described.connections
            )
            self.chooser = choice.UpstreamChooser(
                self.host, str(domain), "region", rng, methods.METHODS[policy.balancing](rng)
            )
            self.announce(record.State.READY, 0.0)

    def announce(self, state: record.State, now: float) -> None:
        """Announces the state of the upstream, and so many slots that only the text limits them."""
        if isinstance(self.admission, admission.Admission):
            self.admission.apply_announcement(state, 10_000, 10_000, now)

    def upstream_record(self) -> record.UpstreamRecord:
        """Returns the record that the other nodes hold; its slots and load are fixed values."""
        return record.UpstreamRecord(
            self.host,
            1,
            1,
            str(self.domain),
            "region",
            self.service,
            self.published_state,
            50,
            0.0,
            "",
            "",
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
            for service in described.service_time_s
            for domain in range(deployment.FAILURE_DOMAINS)
            for node in [Node(self, service, domain, self.rng, policy)]
        }
        self._alive: list[Node] = []
        self._records: dict[str, list[record.UpstreamRecord]] = {}
        self.publish()

    def publish(self) -> None:
        """Publishes the states of all upstreams to all nodes."""
        self._alive = [node for node in self.nodes.values() if node.alive]
        self._records = {service: [] for service in self.deployment.service_time_s}
        for node in self.nodes.values():
            self._records[node.service].append(node.upstream_record())

    def records_of(self, service: str) -> list[record.UpstreamRecord]:
        """Returns the published records of the upstreams of a service."""
        return self._records[service]

    def nodes_of_service(self, service: str) -> list[Node]:
        """Returns the nodes of the hosts of a service."""
        return [node for node in self.nodes.values() if node.service == service]

    def kill(self, node: Node) -> None:
        """Kills a host; the other nodes learn of it after `STATE_DELAY_S`."""
        node.alive = False
        self.publish()
        node.upstream.kill()
        self._publish_state_later(node, record.State.LOST)

    def revive(self, node: Node, cold_calls: int) -> None:
        """Restarts a killed host with a cold upstream."""
        node.alive = True
        node.upstream.revive(cold_calls)
        node.announce(record.State.LOST, self.loop.now)
        node.announce(record.State.READY, self.loop.now)
        self._publish_state_later(node, record.State.READY)

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
                    team=self.team_of(request),
                )
            except errors.CallError:
                done(False)
                return
        allowance = call.Allowance(MAX_RETRIES)
        Hop(self, request, origin, 0, allowance, lambda answer: done(answer.good)).send_attempt()

    def team_of(self, request: Request) -> str:
        """Returns the team to which a request counts: "" if the policy treats all alike."""
        return request.team if self.policy.fairness else ""

    def delay_s(self, first: Node, second: Node) -> float:
        """Returns the one-way delay between two nodes."""
        return (
            DELAY_WITHIN_DOMAIN_S
            if first.domain == second.domain
            else self.deployment.delay_between_domains_s
        )

    def _publish_state_later(self, node: Node, state: record.State) -> None:
        def publish_state() -> None:
            node.published_state = state
            self.publish()

        self.loop.call_after(STATE_DELAY_S, publish_state)


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
        self._excluded_hosts: set[str] = set()
        self._attempts = 0
        origin.budget.add_first_attempt(self._service, world.loop.now)

    def send_attempt(self) -> None:
        """Chooses a node and sends the call to it once; without a node, the call fails."""
        now = self._world.loop.now
        chosen = self._origin.chooser.choose(
            self._world.records_of(self._service),
            self._excluded_hosts,
            now,
            self._request.route.repeatable,
        )
        if chosen is None:
            self._send_result(False, repeatable=True)
            return
        self._attempts += 1
        if self._attempts > 1:
            self._request.retries += 1
        Attempt(self, self._world.nodes[chosen.host], now).send()

    def handle_attempt_end(
        self, target: Node, result: outcome.Outcome, not_run: bool, good: bool, sent_at: float
    ) -> None:
        """Records the result of an attempt and retries if that is allowed."""
        now = self._world.loop.now
        self._origin.chooser.record_outcome(
            target.host,
            result,
            self._receive_report(target),
            now - sent_at,
            now,
            self._request.path[self._index :],
        )
        if good or not self._may_retry(result, not_run):
            self._send_result(good, repeatable=not_run)
            return
        self._excluded_hosts.add(target.host)
        self.send_attempt()

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
        """Allowance of retries at the sending node."""
        return self._allowance

    def _receive_report(self, target: Node) -> load.LoadReport | None:
        if not target.alive:
            return None
        now = self._world.loop.now
        report = target.admission.report(now)
        if not self._world.policy.baseline:
            downstream_path = self._request.path[self._index + 1 :]
            encoded = target.thresholds.encode(downstream_path, now)
            self._origin.thresholds.merge(encoded, downstream_path, now)
            self._origin.thresholds.observe(self._service, report.threshold, now, target.host)
        return report

    def _may_retry(self, result: outcome.Outcome, not_run: bool) -> bool:
        now = self._world.loop.now
        if self._world.policy.baseline:
            return self._attempts <= MAX_RETRIES
        if now >= self._request.deadline:
            return False
        failed = result in (outcome.Outcome.FAILED, outcome.Outcome.REFUSED)
        if not not_run and not (failed and self._request.route.repeatable):
            return False
        budgets = self._world.policy.budgets
        if budgets and not self._origin.budget.try_take(self._service, now):
            return False
        return self._allowance.spend()

    def _send_result(self, good: bool, *, repeatable: bool) -> None:
        self._done(Answer(good, repeatable))


class Attempt:
    """One attempt of a hop at one node."""

    def __init__(self, hop: Hop, target: Node, sent_at: float) -> None:
        self._hop = hop
        self._world = hop.world
        self._target = target
        self._sent_at = sent_at
        self._delay_s = self._world.delay_s(hop.origin, target)
        self._granted_retries = hop.allowance.grant()
        self._downstream_allowance = call.Allowance(self._granted_retries)
        self._entry: queue.Entry | None = None
        self._answered = False

    def send(self) -> None:
        """Sends the call; with the baseline, each hop times out after the route's timeout."""
        self._world.loop.call_after(self._delay_s, self._offer_call)
        if self._world.policy.baseline:
            timeout_s = self._hop.request.route.timeout_s
            self._world.loop.call_after(
                timeout_s, lambda: self._receive_answer(outcome.Outcome.TIMED_OUT)
            )

    def _offer_call(self) -> None:
        if not self._target.alive:
            self._send_answer(outcome.Outcome.REFUSED, not_run=True)
            return
        request = self._hop.request
        context = call.CallContext(
            request.request_id,
            self._world.team_of(request),
            request.route.importance,
            request.deadline,
            self._hop.index,
            request.route.repeatable,
            self._team_weight(request),
        )
        try:
            self._entry = self._target.admission.offer(
                context, self._world.loop.now, lambda _: self._handle_admission()
            )
        except errors.CallError:
            self._send_answer(outcome.Outcome.SHED, not_run=True)
            return
        if self._entry.state is queue.EntryState.STARTED:
            self._handle_admission()
        else:
            self._world.loop.call_after(
                max(0.0, context.deadline - self._world.loop.now),
                lambda: self._target.admission.withdraw(self._entry, "deadline"),
            )

    def _team_weight(self, request: Request) -> float:
        team = self._world.deployment.text.teams.get(request.team)
        return team.weight if team else 1.0

    def _handle_admission(self) -> None:
        if self._entry.state is queue.EntryState.REFUSED:
            self._send_answer(outcome.Outcome.SHED, not_run=True)
            return
        request = self._hop.request
        request.started = True
        is_last = self._hop.index + 1 == len(request.path)
        call_downstream = None if is_last else self._call_downstream
        self._target.upstream.accept(
            upstream.Run(request.deadline, call_downstream, self._handle_run_end)
        )

    def _call_downstream(self, run: upstream.Run) -> None:
        Hop(
            self._world,
            self._hop.request,
            self._target,
            self._hop.index + 1,
            self._downstream_allowance,
            lambda answer: self._target.upstream.finish_downstream_call(run, answer.good),
        ).send_attempt()

    def _handle_run_end(self, run: upstream.Run, result: outcome.Outcome) -> None:
        self._hop.request.worked_s += run.worked_s
        self._target.admission.finish(self._entry, result, self._world.loop.now)
        is_refused = result in (outcome.Outcome.SHED, outcome.Outcome.REFUSED)
        self._send_answer(result, not_run=is_refused)

    def _send_answer(self, result: outcome.Outcome, *, not_run: bool = False) -> None:
        self._world.loop.call_after(self._delay_s, lambda: self._receive_answer(result, not_run))

    def _receive_answer(self, result: outcome.Outcome, not_run: bool = False) -> None:
        if self._answered:
            return
        self._answered = True
        self._hop.allowance.give_back(self._downstream_allowance.drain(), self._granted_retries)
        good = result is outcome.Outcome.OK
        self._hop.handle_attempt_end(self._target, result, not_run, good, self._sent_at)
