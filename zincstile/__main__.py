"""`python -m zincstile`: without arguments one real gateway (`zincstile.serve`); standard library only.

With arguments it is the command line (`zincstile.cli`), which is loaded only then.
"""

from __future__ import annotations

import sys


def main(arguments: list[str]) -> int:
    """Serves, or runs the command that the arguments name; returns the exit code."""
    if arguments:
        from .cli import main as command

        return command(arguments)

    from .serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
