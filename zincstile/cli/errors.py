"""Errors of the command line: each is shown in one line, with exit code 2."""

from __future__ import annotations

import sys

import click


class BadInputError(click.ClickException):
    """What the user gave can't be used; the text names the place and the reason."""

    exit_code = 2

    def show(self, file=None) -> None:
        """Prints the error as one line on stderr, in place of click's own layout."""
        print(f"zincstile: {' '.join(self.format_message().split())}", file=sys.stderr)
