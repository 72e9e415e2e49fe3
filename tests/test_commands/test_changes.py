"""The commands that change or print what the platform stores: apply, show and keys."""

import pytest

from bergamotridge import __main__
from bergamotridge.commands import registry
from bergamotridge.nodes import confirmation
from bergamotridge.operators import pages, port

TEXT = "[services.booking]\n[teams.delft]\nrate = 10\nburst = 5\n"
SECRET = "fleet secret"
PLACES = tuple(
    confirmation.Place(host, domain) for host, domain in (("h1", "a"), ("h2", "b"), ("h3", "a"))
)


@pytest.fixture
def address(server):
    return "{}:{}".format(*server.server_address)


@pytest.fixture
def text_file(tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text(TEXT, encoding="utf-8")
    return path


@pytest.fixture
def secret_file(tmp_path):
    path = tmp_path / "secret"
    path.write_text(f"{SECRET}\n", encoding="utf-8")
    return path


@pytest.fixture
def withdrawn():
    return []


@pytest.fixture
def start_node(withdrawn):
    ports = []

    def start(*places, **fields):
        def withdraw(key_id):
            withdrawn.append(key_id)
            return confirmation.Knowledge(places, **fields)

        node_port = port.OperatorPort(
            "127.0.0.1:0", lambda: (pages.withdraw_page(SECRET, withdraw),)
        )
        node_port.start()
        ports.append(node_port)
        return node_port.address

    yield start
    for node_port in ports:
        node_port.stop()


@pytest.fixture
def command(address):
    def run(*words):
        return __main__.run([*words[0].split(), f"--platform={address}", *words[1:]])

    return run


def start_outage(server):
    server.RequestHandlerClass.platform.change_faults({"outage": True})


def grant_key(command, secret_file, capsys):
    assert command("keys grant", "--team=delft", f"--secret_file={secret_file}") == 0
    lines = dict(line.split(": ") for line in capsys.readouterr().out.splitlines())
    return lines["key_id"]


def test_show_prints_the_applied_text(command, text_file, capsys):
    assert command("show") == registry.EXIT_FAILED
    assert command("apply", f"--file={text_file}") == registry.EXIT_OK
    assert capsys.readouterr().out.startswith("version 1, change ")
    assert command("show") == registry.EXIT_OK
    shown = capsys.readouterr()
    assert shown.out == TEXT
    assert shown.err.startswith("version 1, ")


def test_apply_on_an_outdated_version_prints_the_difference(command, text_file, capsys):
    assert command("apply", f"--file={text_file}", "--read_version=0") == registry.EXIT_OK
    text_file.write_text(TEXT.replace("10", "20"), encoding="utf-8")
    assert command("apply", f"--file={text_file}", "--read_version=0") == registry.EXIT_FAILED
    printed = capsys.readouterr().err
    assert "the current version is 1 by change " in printed
    assert "-rate = 10\n+rate = 20\n" in printed
    assert command("apply", f"--file={text_file}", "--read_version=1") == registry.EXIT_OK


def test_apply_does_not_store_an_invalid_text(command, text_file, capsys):
    text_file.write_text(TEXT.replace("10", "-1"), encoding="utf-8")
    assert command("apply", f"--file={text_file}") == registry.EXIT_FAILED
    assert f"{text_file}: key 'teams.delft.rate'" in capsys.readouterr().err
    assert command("show") == registry.EXIT_FAILED


def test_key_is_granted_and_withdrawn(command, server, text_file, secret_file, capsys):
    command("apply", f"--file={text_file}")
    capsys.readouterr()
    key_id = grant_key(command, secret_file, capsys)
    assert command("keys withdraw", f"--key_id={key_id}") == registry.EXIT_OK
    store = server.RequestHandlerClass.platform.store
    assert store.get("keys", key_id).value["withdrawn"] is True


def test_keys_grant_refuses_an_unknown_team(command, text_file, secret_file, capsys):
    command("apply", f"--file={text_file}")
    words = ("keys grant", "--team=delf", f"--secret_file={secret_file}")
    assert command(*words) == registry.EXIT_FAILED
    assert "did you mean 'delft'?" in capsys.readouterr().err


def test_key_is_withdrawn_through_nodes_during_a_platform_outage(
    command, server, start_node, withdrawn, secret_file, capsys
):
    start_outage(server)
    words = ("keys withdraw", "--key_id=k1", "--platform_timeout_s=1")
    assert command(*words) == registry.EXIT_FAILED
    assert "nobody confirmed" in capsys.readouterr().err
    addresses = ["127.0.0.1:1", start_node(*PLACES[:2], cause="timeout"), start_node(*PLACES[1:])]
    node_flags = (f"--nodes={','.join(addresses)}", f"--secret_file={secret_file}")
    assert command(*words, *node_flags) == registry.EXIT_OK
    printed = capsys.readouterr()
    assert "told 3 nodes in 2 failure domains; stored by the platform: no\n" in printed.out
    assert "127.0.0.1:1" in printed.err
    assert "not known to be stored by the platform: timeout" in printed.err
    assert withdrawn == ["k1", "k1"]


# "is withdrawn; told 1 of 1" was said of a withdrawal that ended with the process of one node.
@pytest.mark.parametrize("stored", [False, True])
def test_a_withdrawal_that_only_one_process_knows_of_is_told_apart(
    start_node, secret_file, capsys, stored
):
    address = start_node(PLACES[0], stored=stored)
    words = ["keys", "withdraw", "--key_id=k1", f"--nodes={address}"]
    status = __main__.run([*words, f"--secret_file={secret_file}"])
    assert status == (registry.EXIT_OK if stored else registry.EXIT_KNOWN_TO_ONE_PROCESS)
    printed = capsys.readouterr()
    assert f"stored by the platform: {'yes' if stored else 'no'}\n" in printed.out
    assert ("only the node of host 'h1' knows" in printed.err) is not stored


def test_a_node_of_the_release_before_counts_as_one_process(start_node, secret_file, capsys):
    address = start_node()
    words = ["keys", "withdraw", "--key_id=k1", f"--nodes={address}"]
    status = __main__.run([*words, f"--secret_file={secret_file}"])
    assert status == registry.EXIT_KNOWN_TO_ONE_PROCESS
    assert f"only the node of host '{address}' knows" in capsys.readouterr().err


def test_keys_withdraw_refuses_an_unknown_key(command, capsys):
    assert command("keys withdraw", "--key_id=k9") == registry.EXIT_FAILED
    assert "keys/k9" in capsys.readouterr().err
