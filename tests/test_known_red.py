"""What CI passes over, and what it does not: .ci/known_red.py, on runs of pytest over small tests."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest
from scenario import ROOT

TESTS = """
import pytest
def test_good(): pass
@pytest.mark.parametrize("k", [1, 2])
def test_half(k): assert k == 1
def test_bad(): assert False
"""
HALF, BAD, GOOD = (f"tests/test_small.py::test_{name}" for name in ("half[2]", "bad", "good"))


def line(test):
    return f"{test} | a true fault | 28\n"


def verdict(folder, tests, red):
    (folder / "tests").mkdir()
    (folder / "tests" / "test_small.py").write_text(tests)
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    env = {k: v for k, v in os.environ.items() if not k.startswith("PYTEST_")}
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--junitxml=report.xml", "--rootdir=."],
        cwd=folder,
        env=env,
        capture_output=True,
    )
    script = os.path.join(ROOT, ".ci", "known_red.py")
    return subprocess.run(
        [sys.executable, script, "KNOWN-RED.txt", "report.xml", str(run.returncode)],
        cwd=folder,
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize(
    ("tests", "red"),
    [(TESTS, line(HALF) + line(BAD)), ("def test_good(): pass", None), ("def test_good(): pass", "\n")],
)
def test_it_passes_over_just_the_listed_and_prints_them(tmp_path, tests, red):
    done = verdict(tmp_path, tests, red)
    assert done.returncode == 0, done.stderr
    assert done.stdout.count("known red") == (red or "").count("|") // 2


@pytest.mark.parametrize(
    ("tests", "red", "why"),
    [
        (TESTS, None, "test_bad, tests.test_small.test_half[2]"),
        (TESTS, line(BAD), "failed: tests.test_small.test_half[2]"),
        (TESTS, line(HALF) + line(BAD) + line(GOOD), f"{GOOD}: passed"),
        (TESTS, line(HALF) + line(BAD) + line("tests/test_small.py::test_none"), "there is no such test"),
        (TESTS, line(HALF) + line(BAD) + line("tests/a.py::a") + line("tests/a.py::b"), "4 lines; 3 at most"),
        (TESTS, line(HALF) + line(BAD) + line(BAD), "each test once"),
        (TESTS, line(HALF) + BAD + "\n", "not `test | cause | issue`"),
        ("import nothing_of_the_kind", None, "came to no end"),
        ("", None, "came to no end"),
        ("import pytest\n@pytest.mark.skip\ndef test_bad(): assert False", line(BAD), "skipped"),
        (
            "import pytest\n@pytest.fixture\ndef f():\n    yield\n    assert False\ndef test_bad(f): pass",
            None,
            "test_bad",
        ),
    ],
)
def test_it_fails_for_anything_else(tmp_path, tests, red, why):
    done = verdict(tmp_path, tests, red)
    assert done.returncode == 1 and why in done.stderr, done.stderr
