"""Golden files: recorded outputs that a test compares with.

`RENEW_GOLDEN=1` in the environment writes them anew, for review by diff.
"""

import os
import pathlib

FOLDER = pathlib.Path(__file__).parent / "files"


def compare(name: str, text: str) -> None:
    """Compares `text` with the golden file `name`, or renews the file."""
    path = FOLDER / name
    if os.environ.get("RENEW_GOLDEN") == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
    assert path.exists(), f"no golden file {name}; make golden writes it"
    assert text == path.read_text(encoding="utf-8")
