"""Carries out a plan on a fleet of machines."""

import asyncio
import pathlib
import signal

from soak.machines import (
    access,
    client,
    configuration,
    draw,
    machine,
    network,
    pauses,
    record,
    server,
    shape,
    steps_clock,
    steps_crowd,
    steps_far,
    steps_late,
    steps_leave,
    steps_machines,
    steps_press,
    steps_resets,
    steps_servers,
    steps_signals,
    steps_starve,
    steps_store,
    steps_teams,
    store,
)

READY_S = 40.0
SETTLE_S = 6.0
BEAT_S, STALL_S = 0.05, 0.25
VERSION_STEP = 3
EARLY_SIGNAL_S = 0.5  # The interpreter takes as long to start; see KNOWN-RED.txt on SIGHUP.


STEPS = {
    "access": steps_teams.change_access,
    steps_clock.KIND: steps_clock.jump,
    "crowd": steps_crowd.crowd,
    "kill": steps_leave.kill,
    "kill all": steps_leave.kill_all,
    "leave": steps_leave.leave,
    "server fault": steps_leave.disturb_server,
    "release": steps_machines.release,
    "scale": steps_machines.scale,
    "reuse": steps_machines.reuse,
    "server trouble": steps_servers.trouble,
    "reset": steps_resets.reset,
    "store cut": steps_store.cut,
    "store history": steps_store.change_history,
    "far": steps_far.disturb,
    "give back": steps_teams.give_back,
    "late": steps_late.stop_late,
    "press": steps_press.press,
    "starve": steps_starve.starve,
    "freeze": steps_starve.freeze,
}


class Fleet:
    """The machines, the store, the clients and the scenarios that are under way."""

    def __init__(
        self,
        plan: draw.Plan,
        of: shape.Shape,
        folder: pathlib.Path,
        tree: pathlib.Path,
        starving: tuple[float, float] | None = None,
        planted: str = "",
    ) -> None:
        """Prepares a fleet of the shape `of`, with the nodes of the work tree `tree`.

        Once all are ready, `starving` leaves them a share of the time, in turns of so many seconds.
        All nodes have the fault `planted`, see `planted_node`.
        """
        self.size, self._starving = plan.machines, starving
        self.rows = record.Record()
        self.shape, self.held = of, access.make(of)
        self._plan, self._folder, self._tree, self._planted = plan, folder, tree, planted
        self.store = store.Store(self.rows)
        self.machines: list[machine.Machine] = []
        self._tasks: list[asyncio.Task] = []
        self._has_clocks = any(step.kind == steps_clock.KIND for step in plan.steps)
        self._version, self._network = 0, ""

    async def run(self) -> None:
        """Carries out the plan and ends all processes."""
        beats = asyncio.create_task(self._note_stalls())
        pausers = []
        try:
            await self._start()
            if self._starving:
                numbers = range(1, self.size + 1)
                pausers = [self.starve(number, *self._starving) for number in numbers]
            await self._play()
            await self._stop_all()
        finally:
            beats.cancel()
            for pauser in pausers:
                pauser.end()
            for item in self.machines:
                if item.process is not None and item.process.popen.returncode is None:
                    item.send(item.process, signal.SIGKILL)
                    await item.process.popen.wait()

    async def _note_stalls(self) -> None:
        """Notes when the event loop, and with it all stand-ins, stood still."""
        while True:
            begin = self.rows.now()
            await asyncio.sleep(BEAT_S)
            if self.rows.now() > begin + BEAT_S + STALL_S:
                self.rows.stalls.append((begin, self.rows.now()))

    async def _start(self) -> None:
        self._network = network.find(self._plan.seed)
        self.configure()
        for number in range(1, self._plan.machines + 1):
            await self.add_machine(self.shape.services[number % len(self.shape.services)].name)
        deadline = self.rows.now() + READY_S
        for item in self.machines:
            while not await item.is_ready():
                if self.rows.now() > deadline:
                    raise network.NotReadyError(f"machine {item.number} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def add_machine(self, service: str) -> machine.Machine:
        """Starts one more machine: its node, and a server of a service."""
        number = len(self.machines) + 1
        address = await self.store.listen(f"{self._network}.{network.STORE}", number)
        item = machine.Machine(self.rows, number, self._network, self._folder, address, self._tree)
        item.service, item.max_fds = service, self.shape.max_fds
        item.planted, item.has_own_clock = self._planted, self._has_clocks
        item.step_clock(0)
        self.machines.append(item)
        await self.start_node(item)
        return item

    async def start_node(self, item: machine.Machine) -> None:
        """Starts a node with the machine's present service, and a server beside it."""
        item.write_settings()
        await item.start()
        await self.start_server(item)

    async def start_server(self, item: machine.Machine) -> None:
        """Starts the next server of a machine."""
        item.server = server.Server(self.rows, item, self.shape)
        await item.server.start()

    async def _play(self) -> None:
        begin = self.rows.now()
        until = begin + self._plan.duration_s
        self.rows.happen("traffic begins")
        for index, (number, style) in enumerate(self._plan.clients):
            self._send(self.machines[number - 1], style, f"{self._plan.seed} {index}", until)
        for step in self._plan.steps:
            await asyncio.sleep(max(0.0, begin + step.at - self.rows.now()))
            self.rows.happen(f"step {step.kind}", step.machine, f"{step.values}")
            self._tasks.append(asyncio.create_task(self._carry_out(step)))
        await asyncio.sleep(max(0.0, until - self.rows.now()))
        await asyncio.gather(*self._tasks)

    def _choose_style(self, number: int) -> client.Style:
        names = self.shape.styles
        chosen = [style for style in client.STYLES if not names or style.name in names]
        return chosen[number % len(chosen)]

    def _send(self, item: machine.Machine, style: int, seed: str, until: float) -> None:
        sending = client.send_steadily(
            self.rows, item, self._choose_style(style), seed, self.shape, until
        )
        self._tasks.append(asyncio.create_task(sending))

    async def _stop_all(self) -> None:
        self.rows.happen("the end: all nodes are told to stop")
        for item in self.machines:
            item.send(item.process, signal.SIGTERM)
        await asyncio.gather(*(item.end(item.process) for item in self.machines))
        for item in self.machines:
            if not item.server.ended:
                item.server.end()

    async def _carry_out(self, step: draw.Step) -> None:
        item, values = self.machines[step.machine - 1], step.values
        if step.kind in STEPS:
            await STEPS[step.kind](self, step.machine, values)
        elif step.kind in ("stop", "rolling", steps_signals.KIND):
            await self.stop_several(step.machine, values)
        elif step.kind == "both":
            other = self.find_server(item, values["service"])
            stops = (self.stop(item, values["asking"]), self.stop(other, values["asked"]))
            await asyncio.gather(*stops)
        elif step.kind == "store":
            await self.trouble_store(values["trouble"], values["for"])
        elif step.kind == "reload":
            await self.reload(step.machine, values["gaps"])
        else:
            for gap in values["gaps"]:
                await asyncio.sleep(gap)
                self.configure()

    def find_machine(self, number: int) -> machine.Machine:
        """Returns a machine by its number."""
        return self.machines[number - 1]

    async def stop_several(self, number: int, values: dict) -> None:
        """Stops nodes as planned, from that of machine `number` on, and starts them again."""
        stops = []
        for item in (self.machines[number - 1 :] + self.machines)[: values["count"]]:
            stops.append(asyncio.create_task(self.stop(item, values)))
            await asyncio.sleep(values["gap"])
        await asyncio.gather(*stops)

    async def trouble_store(self, trouble: str, for_s: float) -> None:
        """Troubles the store for some time."""
        self.rows.happen("store trouble", 0, trouble)
        self.store.trouble = trouble
        await asyncio.sleep(for_s)
        self.store.trouble = ""
        self.rows.happen("store works again")

    async def reload(self, number: int, gaps: list[float]) -> None:
        """Sends SIGHUP to a node after each of the gaps."""
        item = self.machines[number - 1]
        for gap in gaps:
            await asyncio.sleep(gap)
            if self.rows.now() > item.process.started + EARLY_SIGNAL_S:
                item.send(item.process, signal.SIGHUP)

    async def press(self, for_s: float, times: int) -> None:
        """Adds clients for some time, until there are `times` as many as before."""
        until, begin = self.rows.now() + for_s, len(self._tasks)
        added = self._plan.clients * (times - 1)
        for index, (number, style) in enumerate(added):
            seed = f"{self._plan.seed} press {begin} {index}"
            self._send(self.machines[number - 1], style, seed, until)
        await asyncio.sleep(for_s)

    async def freeze_serving(self, number: int, after_s: float, for_s: float) -> None:
        """Lets the node of machine `number` stand still for some time, unless it stops."""
        await asyncio.sleep(after_s)
        item = self.machines[number - 1]
        if item.replaces:  # It stops, and has to be gone in time.
            return
        process, item.replaces = item.process, True
        item.send(process, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        item.send(process, signal.SIGCONT)
        item.replaces = False

    def address_of(self, number: int) -> str:
        """Returns the address at which the node of machine `number` takes requests."""
        return self.machines[number - 1].outbound

    def list_askers(self, number: int) -> tuple[str, list[int]]:
        """Returns the service of machine `number`, and the machines that ask others for it."""
        service = self.machines[number - 1].service
        others = [item for item in self.machines if item.service != service]
        return service, [item.number for item in others if not item.gone]

    def send_by(
        self, number: int, style: client.Style, seed: str, of: shape.Shape, for_s: float
    ) -> None:
        """Adds a client of machine `number` for some time, with requests of a shape."""
        until = self.rows.now() + for_s
        sending = client.send_steadily(
            self.rows, self.machines[number - 1], style, f"{self._plan.seed} {seed}", of, until
        )
        self._tasks.append(asyncio.create_task(sending))

    def starve(self, number: int, share: float, period_s: float) -> pauses.Pauser:
        """Leaves the nodes of machine `number` a share of the time, until the pauser is ended."""
        return self.machines[number - 1].pause(pauses.share_out(share, period_s))

    async def freeze(self, number: int, after_s: float, for_s: float) -> None:
        """Freezes the latest node of machine `number` once, after some time.

        Not if another step has told it to stop so early that it would have no time left to end.
        """
        item = self.machines[number - 1]
        process = item.process
        await asyncio.sleep(after_s)
        told_at = self.rows.now() if process.told_at is None else process.told_at
        if self.rows.now() + for_s > told_at + steps_starve.FREEZES_END_S:
            return
        pauser = item.pause([(0.0, for_s)], process)
        await asyncio.sleep(for_s)
        await asyncio.to_thread(pauser.join)

    def draw_service(self, share: float) -> str:
        """Returns a service by its place, from 0 to 1."""
        return self.shape.services[int(share * len(self.shape.services))].name

    def configure(self, held: access.Access | None = None) -> None:
        """Writes the next configuration, with other keys and limits if they are given."""
        self.held = held or self.held
        self._version += VERSION_STEP
        text = configuration.make(self.shape, self._version, self.held)
        self.store.write("config", "main", text)
        at = self.rows.happen("configuration", 0, f"r{self._version}")
        self.rows.configurations.append(record.Configuration(at, self._version, self.held))

    def find_server(self, item: machine.Machine, share: float) -> machine.Machine:
        """Returns another machine whose server runs a drawn service, any other if there is none."""
        others = [other for other in self.machines if other is not item]
        service = self.draw_service(share)
        return next((other for other in others if other.service == service), others[0])

    async def stop(self, item: machine.Machine, values: dict) -> None:
        """Stops a node as planned, with clients that come at that time, and starts the next."""
        if item.replaces or item.process.popen.returncode is not None:
            return
        item.replaces = True
        process, begin = item.process, self.rows.now() + values["lead"]
        for index, (at, style) in enumerate(values["burst"]):
            seed = f"{self._plan.seed} {item.number} {index}"
            self._tasks.append(asyncio.create_task(self._burst(item, style, seed, at, begin + 4)))
        await asyncio.sleep(values["lead"])
        if self.rows.now() > process.started + EARLY_SIGNAL_S:
            for _ in range(values.get("reloads", 0)):
                item.send(process, signal.SIGHUP)
        item.send(process, signal.SIGTERM)
        ends = asyncio.create_task(item.end(process))
        signals = asyncio.create_task(self._signal_series(item, process, values["also"]))
        if values["overlap"] is not None:
            await asyncio.sleep(values["overlap"])
        else:
            await ends
            await asyncio.sleep(values["pause"])
        await item.start()
        await asyncio.gather(ends, signals)

    async def _burst(self, item, style: int, seed: str, at: float, until: float) -> None:
        await asyncio.sleep(at)
        await client.send_steadily(
            self.rows, item, self._choose_style(style), seed, self.shape, until
        )

    async def _signal_series(self, item, process, also) -> None:
        begin = self.rows.now()
        for at, name in also:
            await asyncio.sleep(max(0.0, begin + at - self.rows.now()))
            item.send(process, signal.Signals[name])
