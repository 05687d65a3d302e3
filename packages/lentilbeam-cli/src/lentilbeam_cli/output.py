"""Writes the output of commands as text, tables or JSON."""

from collections.abc import Iterable
import json
from typing import Any

from rich import console
from rich import table

from lentilbeam_cli import environment
from lentilbeam_cli import options as options_lib

NON_TERMINAL_WIDTH = 140
"""Columns of the output if it isn't a terminal."""
CLEAR_LINE = "\r\x1b[K"
"""Control sequence that moves to the start of the line and erases it."""


class Output:
    """Writes the output of one command.

    Attributes:
        env: the environment with the output streams.
        is_json: whether the output is JSON instead of text.
        console: writes text and tables to stdout.
    """

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
            width=None if env.is_terminal else NON_TERMINAL_WIDTH,
            highlight=False,
            markup=False,
            emoji=False,
        )

    def write_json(self, value: Any) -> None:
        """Writes one JSON document."""
        json.dump(value, self.env.stdout, indent=2, ensure_ascii=False)
        self.env.stdout.write("\n")

    def write_line(self, text: str = "", style: str | None = None) -> None:
        """Writes one line of text.

        Args:
            text: the line, without a line break.
            style: style of `rich`, such as "bold"; None for plain text.
        """
        self.console.print(text, style=style, soft_wrap=True)

    def write_table(
        self, columns: list[str], rows: Iterable[Iterable[str]]
    ) -> None:
        """Writes a table.

        Args:
            columns: headings. A trailing `#` is not shown and marks a column
                of numbers, which is aligned to the right.
            rows: cells of each row.
        """
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
        """Writes one line to stderr."""
        self.env.stderr.write(f"lentilbeam: {text}\n")

    def show_progress(self, text: str) -> None:
        """Replaces the progress line.

        Does nothing if stdout is not a terminal or the output is JSON.
        """
        if self.env.is_terminal and not self.is_json:
            self.env.stderr.write(CLEAR_LINE + text)
            self.env.stderr.flush()

    def clear_progress(self) -> None:
        """Removes the progress line."""
        self.show_progress("")
