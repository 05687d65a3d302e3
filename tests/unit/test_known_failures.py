"""Only tests that KNOWN-RED.txt names may fail without failing the run."""

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
def run(pytester):
    pytester.makeini("[pytest]\ntestpaths = tests")
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "test_some.py").write_text(TESTS)

    def run_with(*listed: str):
        lines = [f"   may fail: tests/test_some.py::{x}" for x in listed]
        text = "1. make test: some tests.\n" + "\n".join(lines)
        (pytester.path / "KNOWN-RED.txt").write_text(text)
        return pytester.runpytest_subprocess("-p", "no:cacheprovider")

    return run_with


def test_listed_tests_are_run_and_reported(run):
    result = run("test_fails[a b]", "test_fails[c]", "test_passes")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines_random(
        [
            "KNOWN-RED.txt: failed: tests/test_some.py::test_fails[[]a b]",
            "KNOWN-RED.txt: failed: tests/test_some.py::test_fails[[]c]",
            "KNOWN-RED.txt: passed: tests/test_some.py::test_passes",
        ]
    )


def test_another_failure_fails_the_run(run):
    result = run("test_fails[a b]")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=1, passed=1)


def test_a_listed_test_that_does_not_exist_fails_the_run(run):
    result = run("test_fails[a b]", "test_fails[c]", "test_gone")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*tests/test_some.py::test_gone"])
