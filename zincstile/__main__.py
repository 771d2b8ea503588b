"""`python -m zincstile`: without arguments runs one real gateway (`zincstile.serve`), with them a command.

The gateway uses the standard library only; the command line (`zincstile.cli`) is loaded only when needed.
"""

from __future__ import annotations

import sys


def main(arguments: list[str]) -> int:
    """Runs the gateway, or the command that the arguments name; returns the exit code."""
    if arguments:
        from .cli import main as command

        return command(arguments)

    from .serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
