"""Golden files: recorded text that a test must reproduce byte for byte."""

import os
import pathlib

FILES = pathlib.Path(__file__).with_name("files")


def compare(name: str, text: str) -> None:
    """Compares `text` with the golden file `name`.

    With RENEW_GOLDEN=1 in the environment, writes the file instead.
    """
    path = FILES / name
    if os.environ.get("RENEW_GOLDEN") == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return
    assert text == path.read_text()
