"""Tests that only tests listed in KNOWN-RED.txt may fail in a passing run."""

import pathlib

import pytest

pytest_plugins = ["pytester"]

CONFTEST = pathlib.Path(__file__).parent.parent / "conftest.py"
TESTS = """
import pytest

@pytest.mark.parametrize("name", ["a b", "c"])
def test_fails(name):
    assert name == "d"

def test_passes():
    pass
"""


@pytest.fixture
def run_tests(pytester):
    """Returns a function that runs `TESTS` with the project's conftest.py.

    Its arguments are the ids, without the file, of the tests that
    KNOWN-RED.txt lists. It returns pytest's result.
    """
    pytester.makeini("[pytest]\ntestpaths = tests")
    directory = pytester.mkdir("tests")
    (directory / "conftest.py").write_text(CONFTEST.read_text())
    (directory / "test_some.py").write_text(TESTS)

    def run_with_list(*listed: str):
        lines = [
            f"   may fail: tests/test_some.py::{test_id}" for test_id in listed
        ]
        entry = "1. make test: some tests.\n" + "\n".join(lines)
        (pytester.path / "KNOWN-RED.txt").write_text(entry)
        return pytester.runpytest_subprocess("-p", "no:cacheprovider")

    return run_with_list


def test_listed_tests_are_run_and_reported(run_tests):
    result = run_tests("test_fails[a b]", "test_fails[c]", "test_passes")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines_random(
        [
            "KNOWN-RED.txt: failed: tests/test_some.py::test_fails[[]a b]",
            "KNOWN-RED.txt: failed: tests/test_some.py::test_fails[[]c]",
            "KNOWN-RED.txt: passed: tests/test_some.py::test_passes",
        ]
    )


def test_an_unlisted_failure_fails_the_run(run_tests):
    result = run_tests("test_fails[a b]")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=1, passed=1)


def test_a_listed_test_that_does_not_exist_fails_the_run(run_tests):
    result = run_tests("test_fails[a b]", "test_fails[c]", "test_gone")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*tests/test_some.py::test_gone"])
