"""`python -m zincstile`: without words one real gateway (`zincstile.serve`), on the standard library alone.

With words it is the command line (`zincstile.cli`), which is loaded only then.
"""

from __future__ import annotations

import sys


def main(words: list[str]) -> int:
    """Serves, or runs the command that the words name; returns the exit code."""
    if words:
        from .cli import main as command

        return command(words)

    from .serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
