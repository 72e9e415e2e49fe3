"""Runs a fleet on one machine: platform, nodes, upstreams and, optionally, a network to cut."""

import collections
import http.client
import json
import pathlib
import socket
import subprocess
import sys
from collections.abc import Iterable, Iterator, Mapping

import attrs

from standins import client, processes

FLEET_SECRET = "secret-of-a-fleet-on-one-machine"
READY_TIMEOUT_S = 60.0
MIN_HELD_FRACTION = 0.95  # Of a team's rate, over all nodes together.


@attrs.frozen
class Host:
    """A host to start: a node and the upstream on the same host.

    Attributes:
        name: Name of the host.
        failure_domain: Its failure domain.
        service: Service of its upstream.
        slots: Number of calls that the upstream runs at once.
        service_ms: Service time of a call without its calls to dependencies, in milliseconds.
        calls: Calls to dependencies, in the form of the flag --calls of standins.upstream.
        crash_on: Query of the calls that end the upstream's process, "" for none.
        settings: Further TOML tables, appended to the node's settings file.
        platform_settings: Further lines of the table [platform] of that file.
    """

    name: str
    failure_domain: str
    service: str
    slots: int = 50
    service_ms: float = 2.0
    calls: tuple[str, ...] = ()
    crash_on: str = ""
    settings: str = ""
    platform_settings: str = ""


@attrs.frozen
class Key:
    """A granted key: its public id and the secret that the caller sends."""

    key_id: str
    secret: str


@attrs.frozen
class Addresses:
    """All addresses of one host, each IP:PORT.

    All but `server`, where the upstream listens, are keys of the table [addresses] of the node's
    settings file.
    """

    callers: str
    upstream: str
    relay: str
    control: str
    operators: str
    server: str
    advertised_relay: str
    advertised_control: str


class Member:
    """A running host of the fleet: its node process and its upstream process."""

    def __init__(
        self, host: Host, addresses: Addresses, settings: pathlib.Path, directory: pathlib.Path
    ) -> None:
        self.host = host
        self.addresses = addresses
        self.record_path = directory / f"{host.name}.record"
        self._directory = directory
        node_arguments = ["bergamotridge", "node", "--settings", str(settings)]
        self.node = processes.Process(f"{host.name}-node", node_arguments, directory)
        upstream_arguments = self._upstream_arguments()
        self.upstream = processes.Process(f"{host.name}-upstream", upstream_arguments, directory)

    def status(self) -> dict:
        """Returns the node's status page, or {} if the node does not respond with one."""
        try:
            reply = client.send_request(self.addresses.operators, "GET", "/status")
        except (OSError, http.client.HTTPException):
            return {}
        return json.loads(reply.body) if reply.status == 200 else {}

    def inject_faults(self, **changes: object) -> None:
        """Injects faults into the upstream; see standins.upstream.Control."""
        reply = client.send_request(self.addresses.server, "POST", "/control", json.dumps(changes))
        if reply.status != 200:
            raise ValueError(reply.body.decode())

    def record(self) -> list[dict]:
        """Returns the complete lines of the upstream's run record, also after it was killed."""
        if not self.record_path.exists():
            return []
        complete_lines, _, _ = self.record_path.read_text(encoding="utf-8").rpartition("\n")
        return [json.loads(line) for line in complete_lines.splitlines()]

    def _upstream_arguments(self) -> list[str]:
        host = self.host
        return [
            "standins.upstream",
            f"--service={host.service}",
            f"--address={self.addresses.server}",
            f"--node={self.addresses.upstream}",
            f"--slots={host.slots}",
            f"--service_ms={host.service_ms}",
            f"--crash_on={host.crash_on}",
            f"--record={self.record_path}",
            *(f"--calls={text}" for text in host.calls),
        ]


class Fleet:
    """Starts and ends all processes of a fleet; use it as a context manager.

    Attributes:
        members: The hosts by name.
        platform: The process of the platform stand-in, which keeps its objects over a restart.
        platform_address: IP:PORT of the platform.
        platform_link: IP:PORT at which nodes reach the platform through the network.
    """

    platform: processes.Process

    def __init__(
        self, directory: pathlib.Path, hosts: Iterable[Host], text: str, *, network: bool = False
    ) -> None:
        """Allocates addresses; the processes start when the context is entered.

        Args:
            directory: Directory for settings, logs and records, used by no other fleet.
            hosts: Hosts to start.
            text: The operator's text.
            network: True to connect nodes and platform through standins.relay, so that failure
                domains can be cut off.
        """
        self._directory = directory
        self._network = network
        self._ports = processes.Ports()
        self._hosts = list(hosts)
        self._text = text
        self._processes: list[processes.Process] = []
        self.platform_address = self._ports.allocate()
        self.platform_link = self._ports.allocate()
        self._network_control = self._ports.allocate()
        self.members: dict[str, Member] = {}

    def __enter__(self) -> "Fleet":
        """Starts the platform, applies the operator's text and starts all hosts."""
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes."""
        self.stop()

    def stop(self) -> None:
        """Kills all processes by their ids, the last started first."""
        for process in reversed(self._processes):
            process.kill()

    def wait_ready(self) -> None:
        """Waits until every node has a configuration and sees all hosts in state ready."""
        for member in self.members.values():
            processes.wait_until(
                lambda member=member: self._is_ready(member),
                f"{member.host.name} is ready; see {member.node.output}",
                READY_TIMEOUT_S,
            )

    def wait_rates(self, rates: Mapping[str, float]) -> None:
        """Waits until the nodes together hold `MIN_HELD_FRACTION` of each team's rate.

        Args:
            rates: Rate of each team, in calls per second.
        """
        processes.wait_until(
            lambda: self._are_rates_held(rates),
            "the nodes hold the rates of all teams",
            READY_TIMEOUT_S,
        )

    def wait_until_newest_configuration(self) -> None:
        """Waits until the newest configuration is in force at every node."""
        reply = client.send_request(self.platform_address, "GET", "/objects/configuration/current")
        newest = json.loads(reply.body)["version"]
        processes.wait_until(
            lambda: all(
                member.status().get("configuration_version") == newest
                for member in self.members.values()
            ),
            f"version {newest} is in force everywhere",
            READY_TIMEOUT_S,
        )

    def run_command(self, *arguments: str) -> str:
        """Runs one operator's command and returns its standard output.

        Raises:
            CalledProcessError: The command failed.
        """
        completed = subprocess.run(
            [sys.executable, "-m", "bergamotridge", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if completed.returncode != 0:
            raise subprocess.CalledProcessError(
                completed.returncode, completed.args, completed.stdout, completed.stderr
            )
        return completed.stdout

    def apply(self, text: str) -> None:
        """Applies an operator's text with the operator's command `apply`."""
        path = self._directory / "fleet.toml"
        path.write_text(text, encoding="utf-8")
        self.run_command("apply", self._platform_flag, f"--file={path}")

    def grant(self, team: str) -> Key:
        """Grants a new key to a team."""
        arguments = ("keys", "grant", self._platform_flag, self._secret_flag, f"--team={team}")
        output = self.run_command(*arguments)
        fields = dict(line.split(": ", 1) for line in output.splitlines())
        return Key(fields["key_id"], fields["key"])

    def withdraw(self, key: Key, *names: str) -> str:
        """Withdraws a key at the platform, or directly at the nodes of the named hosts.

        Returns:
            What the command printed.
        """
        if names:
            addresses = ",".join(self.members[name].addresses.operators for name in names)
            where = f"--nodes={addresses}"
        else:
            where = self._platform_flag
        return self.run_command(
            "keys", "withdraw", where, self._secret_flag, f"--key_id={key.key_id}"
        )

    def timeline(self) -> list[str]:
        """Returns the lines of the merged timeline of all nodes."""
        address = next(iter(self.members.values())).addresses.operators
        return self.run_command("timeline", f"--nodes={address}").splitlines()

    def inject_platform_faults(self, **faults: object) -> None:
        """Injects faults into the platform; see standins.platform.Faults."""
        client.send_request(self.platform_address, "POST", "/faults", json.dumps(faults))

    def cut(self, *failure_domains: str) -> None:
        """Cuts failure domains off from all others and the platform; without any, ends the cut."""
        request = {"failure_domains": failure_domains}
        client.send_request(self._network_control, "POST", "/cut", json.dumps(request))

    def inject_link_faults(self, listen: str, **faults: object) -> None:
        """Replaces the faults of one link of the network; see standins.relay.LinkFaults."""
        request = json.dumps({"listen": listen, **faults})
        client.send_request(self._network_control, "POST", "/link", request)

    def reset_link(self, listen: str) -> None:
        """Resets all open connections of one link of the network."""
        request = json.dumps({"listen": listen})
        client.send_request(self._network_control, "POST", "/reset", request)

    def register_processes(self) -> None:
        """Registers each node's process id and failure domain with the network.

        Must be called again after a node was restarted, because its process id is a new one.
        """
        pids = {member.node.pid: member.host.failure_domain for member in self.members.values()}
        client.send_request(self._network_control, "POST", "/sources", json.dumps(pids))

    def platform_statistics(self) -> dict:
        """Returns the platform's numbers of requests."""
        return json.loads(client.send_request(self.platform_address, "GET", "/statistics").body)

    def call(
        self,
        name: str,
        method: str,
        path: str,
        *,
        key: str = "",
        tag: str = "",
        idempotency_key: str = "",
        body: str = "",
        timeout_s: float = 20.0,
    ) -> client.Reply:
        """Calls the node on host `name` as a caller; raises as `client.send_request` does.

        The body is the tag, if none is given.
        """
        headers = {"Request-Tag": tag}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        sent_body = None if method in ("GET", "DELETE") else body or tag
        address = self.members[name].addresses.callers
        return client.send_request(address, method, path, sent_body, headers, timeout_s)

    def records(self) -> list[dict]:
        """Returns the lines of all upstreams' run records, in order of time."""
        lines = [line for member in self.members.values() for line in member.record()]
        return sorted(lines, key=lambda line: line["time"])

    def launch(self, name: str, *arguments: str) -> processes.Process:
        """Starts a further Python module as a process that is killed with the fleet."""
        process = processes.Process(name, arguments, self._directory)
        self._processes.append(process)
        return process

    def addresses(self, name: str) -> Addresses:
        """Returns the addresses of one host."""
        return self.members[name].addresses

    @property
    def _platform_flag(self) -> str:
        return f"--platform={self.platform_address}"

    @property
    def _secret_flag(self) -> str:
        path = self._directory / "fleet_secret"
        path.write_text(FLEET_SECRET, encoding="utf-8")
        return f"--secret_file={path}"

    def _start(self) -> None:
        journal = self._directory / "platform.journal"
        self.platform = self.launch(
            "platform",
            "standins.platform",
            f"--address={self.platform_address}",
            f"--journal={journal}",
        )
        processes.wait_until(lambda: _is_responding(self.platform_address), "the platform responds")
        self.apply(self._text)
        addresses = {host.name: self._allocate_addresses() for host in self._hosts}
        if self._network:
            self._start_network(addresses)
        bootstrap_addresses = [addresses[host.name].advertised_control for host in self._hosts[:2]]
        for host in self._hosts:
            settings = self._write_settings(host, addresses[host.name], bootstrap_addresses)
            member = Member(host, addresses[host.name], settings, self._directory)
            self.members[host.name] = member
            self._processes += [member.node, member.upstream]
        if self._network:
            self.register_processes()

    def _allocate_addresses(self) -> Addresses:
        allocated = Addresses(*(self._ports.allocate() for _ in attrs.fields(Addresses)))
        if self._network:
            return allocated
        return attrs.evolve(
            allocated, advertised_relay=allocated.relay, advertised_control=allocated.control
        )

    def _start_network(self, addresses: dict[str, Addresses]) -> None:
        links = [f"--link={self.platform_link}={self.platform_address}="]
        for host in self._hosts:
            own = addresses[host.name]
            links += [
                f"--link={own.advertised_relay}={own.relay}={host.failure_domain}",
                f"--link={own.advertised_control}={own.control}={host.failure_domain}",
            ]
        self.launch("network", "standins.relay", f"--control={self._network_control}", *links)
        last_address = addresses[self._hosts[-1].name].advertised_control
        processes.wait_until(lambda: _is_listening(last_address), "the network listens")

    def _write_settings(
        self, host: Host, addresses: Addresses, bootstrap_addresses: list[str]
    ) -> pathlib.Path:
        path = self._directory / f"{host.name}.toml"
        path.write_text(
            "\n".join(self._settings_lines(host, addresses, bootstrap_addresses)), encoding="utf-8"
        )
        return path

    def _settings_lines(
        self, host: Host, addresses: Addresses, bootstrap_addresses: list[str]
    ) -> Iterator[str]:
        yield f'host = "{host.name}"'
        yield f'failure_domain = "{host.failure_domain}"'
        yield f'fleet_secret = "{FLEET_SECRET}"'
        yield "[addresses]"
        ports = attrs.asdict(addresses)
        del ports["server"]
        yield from (f'{port} = "{address}"' for port, address in ports.items())
        yield "[platform]"
        yield f'address = "{self.platform_link if self._network else self.platform_address}"'
        yield host.platform_settings
        yield "[peers]"
        other_addresses = [
            address for address in bootstrap_addresses if address != addresses.advertised_control
        ]
        yield f"first = {json.dumps(other_addresses)}"
        yield host.settings

    def _are_rates_held(self, rates: Mapping[str, float]) -> bool:
        held_rates = collections.Counter()
        for member in self.members.values():
            for team in member.status().get("teams", ()):
                held_rates[team["team"]] += team["held_rate"]
        return all(held_rates[team] >= MIN_HELD_FRACTION * rate for team, rate in rates.items())

    def _is_ready(self, member: Member) -> bool:
        if not member.node.running:
            output = member.node.output.read_text(encoding="utf-8", errors="replace")
            raise processes.NotReadyError(f"{member.node.name} has ended:\n{output[-2000:]}")
        status = member.status()
        ready_hosts = {
            item["host"] for item in status.get("members", ()) if item["state"] == "ready"
        }
        return status.get("configuration_version", 0) > 0 and ready_hosts >= set(self.members)


def _is_listening(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), client.REQUEST_TIMEOUT_S).close()
    except OSError:
        return False
    return True


def _is_responding(address: str) -> bool:
    try:
        return client.send_request(address, "GET", "/statistics").status == 200
    except (OSError, http.client.HTTPException):
        return False
