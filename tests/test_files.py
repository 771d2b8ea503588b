"""Source files stay within a limit of lines, and the list of strictly linted packages does not shrink."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest
from scenario import ROOT

MAX_LINES = {"zincstile": 500, "tests": 600}


@pytest.mark.parametrize("folder", sorted(MAX_LINES))
def test_no_file_exceeds_the_line_limit_of_its_folder(folder):
    root = Path(ROOT)
    sizes = {
        path.relative_to(root).as_posix(): len(path.read_text(encoding="utf-8").splitlines())
        for path in (root / folder).rglob("*.py")
    }
    assert sizes
    assert {name: size for name, size in sizes.items() if size > MAX_LINES[folder]} == {}


STRICTLY_LINTED = set(
    "admin checkers cli cold_start decisions emulators leases net quota_service scale serialization "
    "simulator subsetting testbed virtual zone_failover".split()
)


def test_no_package_is_exempted_from_the_strict_linter_rules_again():
    """The stricter linter rules apply to the packages listed in pyproject.toml; none may be removed."""
    settings = tomllib.loads((Path(ROOT) / "pyproject.toml").read_text(encoding="utf-8"))
    [pattern] = settings["tool"]["ruff"]["lint"]["per-file-ignores"]
    listed = set(re.fullmatch(r"!zincstile/\{([a-z_,]+)\}/\*\*", pattern)[1].split(","))
    assert listed >= STRICTLY_LINTED
    assert all((Path(ROOT) / "zincstile" / package).is_dir() for package in listed)
