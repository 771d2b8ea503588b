"""The top-level commands; the module of each is imported when the command is called."""

from __future__ import annotations

import importlib
import sys
from typing import Final

import click

from .errors import BadInputError
from .libraries import report_missing_library

# command name: (module in this package, help text)
COMMANDS = {
    "sim": ("sim", "Simulations by seed: run one, sweep many, shrink a failing plan."),
    "bound": ("bound", "How far all gateways together can exceed a quota, for each kind of failure."),
    "testbed": ("testbed", "Several real processes with injected faults: run, sweep, report."),
    "zones": ("zones", "Zones and regions: where traffic is routed when a zone fails."),
    "scale": ("scale", "How cost grows with the size of the fleet, by dimension."),
    "demo": ("demo", "Three real gateways with emulated backends and services, under a short load."),
}

HIDDEN_ALIASES: Final = {"field": "testbed", "place": "zones"}  # former name: command


class LazyGroup(click.Group):
    """Imports the module of a command only when the command is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Imports and returns the command with this name or alias; None if there is none."""
        name = HIDDEN_ALIASES.get(name, name)
        if name not in COMMANDS:
            return None
        module = importlib.import_module(f".{COMMANDS[name][0]}", __package__)
        command: click.Command = module.command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Lists the commands from COMMANDS, so that the help imports none of their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def zincstile() -> None:
    """An admission gateway. Without arguments, runs the gateway with the file in RELAY_CONFIG."""


def run(arguments: list[str]) -> int:
    """Runs a command. Exit code: 0 success, 1 a rule was broken or a run failed, 2 invalid input."""
    try:
        return int(zincstile.main(args=arguments, prog_name="zincstile", standalone_mode=False) or 0)
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
        return report_missing_library(err)
