"""Former names of commands still work but are not listed in the help."""

from __future__ import annotations

import pytest

from zincstile.cli import main
from zincstile.cli.commands import COMMANDS, HIDDEN_ALIASES


@pytest.mark.parametrize(("old", "new"), sorted(HIDDEN_ALIASES.items()))
def test_a_former_name_runs_the_same_command_and_is_not_listed(old, new, capsys):
    help_texts = []
    for name in (old, new):
        assert main([name, "--help"]) == 0
        help_texts.append(capsys.readouterr().out.replace(f" {name} ", " NAME "))
    assert help_texts[0] == help_texts[1] != ""
    assert main(["--help"]) == 0
    listed = [line.split()[0] for line in capsys.readouterr().out.splitlines() if line.startswith("  ")]
    assert new in listed and old not in listed


def test_an_unknown_command_gives_exit_code_2():
    assert "fields" not in COMMANDS and main(["fields"]) == 2
