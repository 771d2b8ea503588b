"""The program under a Unix clock that is wrong: `python -m zincstile.field.skewed MS`.

No process can be given a wrong system clock without rights over the machine's; the clock that the
program reads by `net.host` is shifted before it starts, and nothing else of it is changed.
"""

import sys
import time

from ..net.host import Host
from ..serve import serve


def main(words: list[str]) -> int:
    """Shifts the Unix clock by the milliseconds that are named, then serves; returns the exit code."""
    shift_ns = int(float(words[0]) * 1_000_000)
    Host.unix_ns = staticmethod(lambda: time.time_ns() + shift_ns)
    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
