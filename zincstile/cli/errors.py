"""Errors of the command line: each is printed in one line, with exit code 2."""

from __future__ import annotations

import sys

import click


class BadInputError(click.ClickException):
    """An argument or input file is invalid; the message says where and why."""

    exit_code = 2

    def show(self, file=None) -> None:
        """Prints the error as one line on stderr, in place of click's several lines."""
        print(f"zincstile: {' '.join(self.format_message().split())}", file=sys.stderr)
