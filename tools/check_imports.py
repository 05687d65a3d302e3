"""Checks that `from … import …` imports modules and not their members.

Usage: `python tools/check_imports.py DIRECTORY…`. Members of `typing`,
`collections.abc` and `__future__` may be imported, as in the Google Python
Style Guide.
"""

import ast
import importlib.util
import pathlib
import sys

ALLOWED_SOURCES = {"typing", "collections.abc", "__future__"}


def is_module(source: str, name: str) -> bool:
    """Tells whether `source.name` is a module that can be imported."""
    try:
        return importlib.util.find_spec(f"{source}.{name}") is not None
    except ModuleNotFoundError:
        return False


def collect_findings(path: pathlib.Path) -> list[str]:
    """Returns one line for each import in a file that breaks the rule.

    Relative imports break it, too.
    """
    findings = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level or not node.module:
            findings.append(f"{path}:{node.lineno}: relative import")
            continue
        if node.module in ALLOWED_SOURCES:
            continue
        for alias in node.names:
            if not is_module(node.module, alias.name):
                findings.append(
                    f"{path}:{node.lineno}: {node.module}.{alias.name}"
                    " is not a module"
                )
    return findings


def main(directories: list[str]) -> int:
    """Prints the findings in all Python files below the directories.

    Returns:
        The exit status: 1 if there are findings, else 0.
    """
    findings = []
    for directory in directories:
        for path in sorted(pathlib.Path(directory).rglob("*.py")):
            findings.extend(collect_findings(path))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
