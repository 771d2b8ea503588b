"""Commands of before are still there under their old names, and are not listed."""

from __future__ import annotations

import pytest

from zincstile.cli import main
from zincstile.cli.commands import GROUPS, HIDDEN_ALIASES


@pytest.mark.parametrize(("old", "new"), sorted(HIDDEN_ALIASES.items()))
def test_an_old_name_is_the_same_command_and_hidden(old, new, capsys):
    helps = []
    for name in (old, new):
        assert main([name, "--help"]) == 0
        helps.append(capsys.readouterr().out.replace(f" {name} ", " NAME "))
    assert helps[0] == helps[1] != ""
    assert main(["--help"]) == 0
    listed = [line.split()[0] for line in capsys.readouterr().out.splitlines() if line.startswith("  ")]
    assert new in listed and old not in listed


def test_an_unknown_command_is_refused():
    assert "fields" not in GROUPS and main(["fields"]) == 2
