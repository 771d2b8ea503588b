"""The tree of commands, each found by its name in a module of its own when it is asked for."""

from __future__ import annotations

import importlib
import sys
from typing import Final

import click

from .errors import BadInputError
from .libraries import missing

# word: module beside this one, and what it is for
GROUPS = {
    "sim": ("sim", "Simulations by seed: run one, sweep many, shrink a failing one."),
    "bound": ("bound", "How far quotas held through a quota service can be passed, failure by failure."),
    "testbed": ("testbed", "Several real processes, and faults between them: run, sweep, report."),
    "zones": ("zones", "Zones and regions: where traffic goes when a zone is lost."),
    "scale": ("scale", "How cost grows with the size of the fleet: sizes, and slopes by dimension."),
    "demo": ("demo", "Three real gateways and all they speak with, on loopback, for a short load."),
}

HIDDEN_ALIASES: Final = {"field": "testbed", "place": "zones"}  # names of before: commands


class LazyGroup(click.Group):
    """Loads a command's module when it is named, and not before."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, in their order."""
        return list(GROUPS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The command of that name, from its module; None where there is none."""
        name = HIDDEN_ALIASES.get(name, name)
        if name not in GROUPS:
            return None
        module = importlib.import_module(f".{GROUPS[name][0]}", __package__)
        command: click.Command = module.command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Lists the commands from the table above, so that help loads none of them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in GROUPS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def zincstile() -> None:
    """An admission gateway. Without words it serves, as RELAY_CONFIG says."""


def run(words: list[str]) -> int:
    """Exit code: 0 all well, 1 a rule is broken or a run failed, 2 bad input."""
    try:
        return int(zincstile.main(args=words, prog_name="zincstile", standalone_mode=False) or 0)
    except click.exceptions.Exit as err:
        return err.exit_code
    except click.UsageError as err:
        BadInputError(err.format_message()).show()
        return 2
    except click.ClickException as err:
        err.show()
        return err.exit_code
    except (click.Abort, KeyboardInterrupt):
        print("zincstile: interrupted", file=sys.stderr)
        return 130
    except ModuleNotFoundError as err:
        return missing(err)
