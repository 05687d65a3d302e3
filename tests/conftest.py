"""Lets the tests that KNOWN-RED.txt lists fail without failing the run."""

import pathlib

import pytest

LIST_NAME = "KNOWN-RED.txt"
PREFIX = "may fail: "
"""Starts a line of the list that holds the id of one test."""


def read_listed(path: pathlib.Path) -> list[str]:
    """Returns the ids of the tests that may fail, without repetitions."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    found = [x.removeprefix(PREFIX) for x in lines if x.startswith(PREFIX)]
    return list(dict.fromkeys(found))


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Marks the listed tests; fails a whole run that lacks one of them."""
    listed = read_listed(config.rootpath / LIST_NAME)
    by_id = {item.nodeid: item for item in items}
    missing = [name for name in listed if name not in by_id]
    is_whole_run = config.args_source is config.ArgsSource.TESTPATHS
    if missing and is_whole_run:
        names = "\n".join(missing)
        raise pytest.UsageError(f"{LIST_NAME} lists missing tests:\n{names}")
    mark = pytest.mark.xfail(reason=f"listed in {LIST_NAME}", strict=False)
    for name in listed:
        if name in by_id:
            by_id[name].add_marker(mark)


def pytest_terminal_summary(terminalreporter, config):
    """Prints whether each listed test passed or failed."""
    listed = read_listed(config.rootpath / LIST_NAME)
    for outcome, word in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(outcome, ()):
            if report.nodeid in listed:
                terminalreporter.write_line(
                    f"{LIST_NAME}: {word}: {report.nodeid}"
                )
