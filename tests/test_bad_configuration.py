"""A configuration that can not be used: one line on stderr, exit code 2."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest
from scenario import ROOT, settings


@pytest.mark.parametrize(
    ("broken", "said"),
    [
        ({"settings": None}, "settings"),
        ({"listen": "nowhere"}, "nowhere"),
        ({"seed": "xyz"}, "xyz"),
        ({"settings": {"classes": []}}, "key"),
        ({"known": {"index": 1, "endpoints": [{"name": "a"}]}}, "known"),
        ({"limits": {"idle_ns": 0}}, "limits"),
        ("{", "not JSON"),
        (None, "No such file"),
        ([], ""),
    ],
)
def test_a_bad_configuration_is_one_line_and_exit_2(tmp_path, broken, said):
    path = tmp_path / "config.json"
    table = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }
    if broken is not None:
        path.write_text(
            json.dumps(table | broken if isinstance(broken, dict) else broken) if broken != "{" else "{"
        )
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")} | {"RELAY_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "zincstile"], cwd=ROOT, env=env, capture_output=True, text=True
    )
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr
