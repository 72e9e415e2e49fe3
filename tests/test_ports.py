"""A node binds all its ports or none, and waits for them as long as a stop may last."""

import logbook
import pytest

from bergamotridge import errors, port_wait, ports, settings
from standins import processes

DRAIN_S = 20.0


@pytest.fixture
def addresses():
    free = processes.Ports()
    names = ("callers", "upstream", "relay", "control", "operators", "ready")
    return settings.Addresses(**{name: free.allocate() for name in names})


@pytest.mark.parametrize("taken", ports.ORDER)
def test_all_ports_are_bound_or_none(addresses, taken):
    holder = ports.bind(addresses)
    kept = holder.take(taken)
    if taken != ports.DATAGRAMS:
        kept.listen()
    holder.close()
    setting = "control" if taken == ports.DATAGRAMS else taken
    with pytest.raises(errors.AddressInUseError, match=f"'addresses.{setting}'"):
        ports.bind(addresses)
    kept.close()
    ports.bind(addresses).close()


def test_of_two_processes_that_start_together_only_one_can_have_the_ports(addresses):
    bound = ports.bind(addresses)
    with pytest.raises(errors.AddressInUseError):
        ports.bind(addresses)
    bound.close()


def test_an_address_of_another_machine_is_no_address_to_wait_for(addresses):
    with pytest.raises(errors.AddressUnavailableError) as raised:
        ports.bind(settings.Addresses(callers="192.0.2.1:8000"))
    assert not isinstance(raised.value, errors.AddressInUseError)


def test_the_wait_is_logged_once_and_ends_when_no_stop_can_last_longer():
    error = errors.AddressInUseError("cannot listen on '127.0.0.1:1'")
    wait = port_wait.PortWait(DRAIN_S)
    with logbook.TestHandler() as handler:
        for now in (5.0, 5.1, 5.0 + DRAIN_S + port_wait.STOP_MARGIN_S - 0.1):
            wait.record_failure(error, now)
        with pytest.raises(errors.AddressInUseError):
            wait.record_failure(error, 5.0 + DRAIN_S + port_wait.STOP_MARGIN_S)
    (line,) = handler.formatted_records
    assert "127.0.0.1:1" in line and "26 s" in line


def test_a_start_without_a_wait_logs_none():
    wait = port_wait.PortWait(DRAIN_S)
    with logbook.TestHandler() as handler:
        wait.record_success(1.0)
    assert handler.formatted_records == []
