"""Decides whether a test run passes, given the known failures: known_red.py LIST REPORT.xml EXIT-CODE.

LIST (KNOWN-RED.txt) names tests that fail because of a real fault that is not fixed yet, at most three, one
per line: `test | cause | issue`. Their failures are tolerated and printed. The check fails if any other test
fails, if a listed test passes, is skipped or does not exist, if the list is too long or malformed, or if
pytest itself did not complete.
"""

import os
import sys
from xml.etree import ElementTree

MAX_KNOWN_FAILURES = 3


def read_known_failures(path):
    """The lines of the list by test; exits with an error if the list is malformed."""
    if not os.path.exists(path):
        return {}
    lines = {}
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            if not line.strip():
                continue
            fields = [field.strip() for field in line.split(" | ")]
            if len(fields) != 3 or not all(fields) or fields[0] in lines:
                sys.exit(f"{path}:{number}: not `test | cause | issue` with each test once: {line.strip()!r}")
            lines[fields[0]] = line.strip()
    if len(lines) > MAX_KNOWN_FAILURES:
        sys.exit(f"{path}: {len(lines)} lines; {MAX_KNOWN_FAILURES} at most")
    return lines


def read_outcomes(path):
    """The outcome of each test, by its name in the report of pytest."""
    outcomes = {}
    for case in ElementTree.parse(path).iter("testcase"):
        name = case.get("classname", "") + "." + case.get("name", "")
        tags = {child.tag for child in case}
        failed = tags & {"failure", "error"}
        if outcomes.get(name) != "failed":  # a test that fails in its teardown is reported twice
            outcomes[name] = "failed" if failed else "skipped" if "skipped" in tags else "passed"
    return outcomes


def main(path, report, exit_code):
    known_failures = read_known_failures(path)
    if exit_code not in ("0", "1"):
        sys.exit(f"pytest did not complete: exit code {exit_code}")
    outcomes = read_outcomes(report)
    tests_by_report_name = {}
    for test in known_failures:
        module_path, _, test_name = test.partition(".py::")
        tests_by_report_name[module_path.replace("/", ".") + "." + test_name] = test
    for name, test in tests_by_report_name.items():
        if outcomes.get(name) != "failed":
            sys.exit(f"{path}: {test}: {outcomes.get(name, 'no such test')}; remove its line")
    unexpected = sorted(
        name for name, outcome in outcomes.items() if outcome == "failed" and name not in tests_by_report_name
    )
    if unexpected or (exit_code == "1") != bool(known_failures):
        sys.exit(f"failed: {', '.join(unexpected) or 'pytest exit code ' + exit_code}")
    for line in known_failures.values():
        print(f"known failure, tolerated: {line}")


if __name__ == "__main__":
    main(*sys.argv[1:])
