"""An invalid configuration gives one line on stderr and exit code 2."""

from __future__ import annotations

import json

import pytest
from scenario import minimal_config, run_until_exit


@pytest.mark.parametrize(
    ("invalid", "message"),
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
def test_an_invalid_configuration_gives_one_line_and_exit_code_2(tmp_path, invalid, message):
    path = tmp_path / "config.json"
    config = minimal_config()
    if invalid is not None:
        path.write_text(
            json.dumps(config | invalid if isinstance(invalid, dict) else invalid) if invalid != "{" else "{"
        )
    completed = run_until_exit(path)
    assert completed.returncode == 2 and completed.stdout == ""
    assert len(completed.stderr.splitlines()) == 1 and message in completed.stderr
