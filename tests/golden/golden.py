"""Compares output with golden files, which hold the expected output.

If the environment variable RENEW_GOLDEN is "1", the files are written instead;
the change is then reviewed as a diff.
"""

import os
import pathlib

FOLDER = pathlib.Path(__file__).parent / "files"


def compare(name: str, text: str) -> None:
    """Asserts that `text` equals a golden file, or writes the file.

    Args:
        name: path of the file, relative to `FOLDER`.
        text: the actual output.
    """
    path = FOLDER / name
    if os.environ.get("RENEW_GOLDEN") == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
    assert path.exists(), f"no golden file {name}; make golden writes it"
    assert text == path.read_text(encoding="utf-8")
