"""Output for people, as text and tables, and for programs, as JSON."""

from collections.abc import Iterable
import json
from typing import Any

from rich import console
from rich import table

from lentilbeam_cli import environment
from lentilbeam_cli import options as options_lib

PLAIN_WIDTH = 140
CLEAR_LINE = "\r\x1b[K"


class Output:
    """Writes one command's output."""

    def __init__(
        self, env: environment.Environment, output_format: options_lib.Format
    ):
        self.env = env
        self.is_json = output_format is options_lib.Format.JSON
        self.console = console.Console(
            file=env.stdout,
            force_terminal=env.is_terminal,
            color_system="standard" if env.is_terminal else None,
            _environ=env.variables,
            width=None if env.is_terminal else PLAIN_WIDTH,
            highlight=False,
            markup=False,
            emoji=False,
        )

    def write_json(self, value: Any) -> None:
        """Writes one JSON document."""
        json.dump(value, self.env.stdout, indent=2, ensure_ascii=False)
        self.env.stdout.write("\n")

    def write_line(self, text: str = "", style: str | None = None) -> None:
        """Writes one line of text."""
        self.console.print(text, style=style, soft_wrap=True)

    def write_table(
        self, columns: list[str], rows: Iterable[Iterable[str]]
    ) -> None:
        """Writes a table; columns whose heading ends in `#` are numbers."""
        grid = table.Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            is_number = column.endswith("#")
            grid.add_column(
                column.rstrip("#"),
                justify="right" if is_number else "left",
                overflow="fold",
            )
        for row in rows:
            grid.add_row(*row)
        self.console.print(grid)

    def write_error(self, text: str) -> None:
        """Writes one line about a failure."""
        self.env.stderr.write(f"lentilbeam: {text}\n")

    def show_progress(self, text: str) -> None:
        """Replaces the progress line; does nothing off a terminal."""
        if self.env.is_terminal and not self.is_json:
            self.env.stderr.write(CLEAR_LINE + text)
            self.env.stderr.flush()

    def end_progress(self) -> None:
        """Removes the progress line."""
        self.show_progress("")
