"""A configuration that can not be used: one line on stderr, exit code 2."""

from __future__ import annotations

import json

import pytest
from scenario import minimal_config, run_until_exit


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
    table = minimal_config()
    if broken is not None:
        path.write_text(
            json.dumps(table | broken if isinstance(broken, dict) else broken) if broken != "{" else "{"
        )
    done = run_until_exit(path)
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr
