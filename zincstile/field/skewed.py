"""The program under a Unix clock that is wrong: `python -m zincstile.field.skewed MS`.

No process can be given a wrong system clock without rights over the machine's; the clock that the
program reads by `net.host` is shifted before it starts, and nothing else of it is changed.
"""

import sys
import time

from .. import __main__ as program
from ..net.host import Host


def main(words: list[str]) -> int:
    shift_ns = int(float(words[0]) * 1_000_000)
    Host.unix_ns = staticmethod(lambda: time.time_ns() + shift_ns)
    return program.main([])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
