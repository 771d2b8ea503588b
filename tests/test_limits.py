"""The limits of the gateway, and bounds on the size and the imports of the decisions' modules."""

import ast
import os
from dataclasses import asdict
from pathlib import Path

import pytest
from scenario import minimal_config

from zincstile.net import config
from zincstile.net.limits import SECOND, Limits, Machine

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


DECISIONS = Path(ROOT) / "zincstile" / "decisions"
MAX_LINES = 300  # non-blank lines of a module of the decisions
# The keys that operators may set under `limits` in the configuration.
OPERATORS_KEYS = """
    frontend_connections backend_connections reserved read_bytes value_bytes answer_bytes words
    line_bytes command_bytes id_bytes drained_bytes header_lines table_bytes datagram_bytes sessions
    pipelined written_bytes backlog accepts keeper_connections keeper_pipelined keeper_waiting
    keeper_call_ns keeper_stuck_ns keeper_rest_ns connect_ns command_ns command_stall_ns silent_ns
    rest_ns tend_ns drained_ns answer_ns idle_ns settled_ns spare_ns newcomer_ns margin_ns
    table_first_ns table_silence_ns table_answer_ns table_patience_ns table_list_ns
    table_first_ask_ns table_again_ns table_again_most_ns table_longest_ns held_up_ns start_told_ns
    backoff_ns backoff_most_ns drain_quiet_ns drain_ns drain_least_ns drain_margin_ns drain_most_ns
    stream_bytes stream_stall_ns stream_pace_ns stream_piece_bytes buffered_value_bytes control_connections
    control_call_ns handover_poll_ns handover_keep_ns handover_read_ns handover_kept_ns
    handover_stale_ns inherit_wait_ns inherit_look_ns inherit_bytes standby_rest_ns
"""
IMPURE = {
    "asyncio",
    "datetime",
    "io",
    "os",
    "pathlib",
    "select",
    "socket",
    "subprocess",
    "sys",
    "threading",
    "time",
}


def modules():
    return sorted(DECISIONS.glob("*.py"))


def by_name(path):
    return path.name


@pytest.mark.parametrize("path", modules(), ids=by_name)
def test_a_module_of_the_decisions_is_small(path):
    lines = path.read_text(encoding="utf-8").splitlines()
    assert sum(1 for line in lines if line.strip()) <= MAX_LINES
    assert max(len(line) for line in lines) <= 110


@pytest.mark.parametrize("path", modules(), ids=by_name)
def test_a_module_of_the_decisions_has_a_doc_comment(path):
    assert ast.get_docstring(ast.parse(path.read_text(encoding="utf-8")))


@pytest.mark.parametrize("path", modules(), ids=by_name)
def test_decisions_use_no_clock_network_or_global_random_generator(path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            assert not {alias.name.split(".")[0] for alias in node.names} & IMPURE
        elif isinstance(node, ast.ImportFrom) and not node.level:
            assert node.module.split(".")[0] not in IMPURE | {"random"}
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in ("open", "print", "input")
        elif (
            isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
        ):
            assert node.attr == "Random", "the random generator of the whole process is used"


def test_two_attempts_after_a_silent_watch_fit_into_the_time_in_which_drains_must_be_known():
    limits = Limits()
    assert limits.watch_silence_timeout_ns > 2 * SECOND  # a working watch sends an event every 2 s
    assert (
        limits.watch_silence_timeout_ns + limits.watch_answer_timeout_ns + 2 * limits.max_backoff_ns
        < 6 * SECOND
    )


@pytest.mark.parametrize("sockets", [128, 192, 384, 1024])
def test_two_processes_during_an_upgrade_use_no_more_descriptors_than_one(sockets):
    limits = Limits.for_gateway(Machine(sockets, 40, 100, 1, 1, SECOND, has_admin_endpoint=True), {})
    shared = limits.shared()
    assert limits.frontend_connections + limits.backend_connections + limits.reserved <= sockets
    assert 2 * (shared.frontend_connections + shared.backend_connections + limits.reserved) <= sockets
    assert shared.frontend_connections > shared.backend_connections >= sockets // 16


def test_shutdown_ends_before_the_platform_kills_the_process():
    for longest_ns, kill_s in ((SECOND, 1.7), (3 * SECOND, 3.7), (9 * SECOND, 3.7)):
        limits = Limits.for_gateway(Machine(256, 32, 100, 1, 1, longest_ns), {})
        assert limits.drain_ns < limits.shutdown_ns < kill_s * SECOND


@pytest.mark.parametrize("key", OPERATORS_KEYS.split())
def test_each_key_of_operators_sets_exactly_one_limit(key):
    default = asdict(config.read(minimal_config(), {}).limits)
    configured = asdict(config.read(minimal_config() | {"limits": {key: 7}}, {}).limits)
    changed = {name: value for name, value in configured.items() if value != default[name]}
    assert list(changed.values()) == [7]
