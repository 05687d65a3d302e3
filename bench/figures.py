"""Prints the results of a benchmark as JSON lines."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: name of the figure.
        value: measured value.
        unit: unit of `value` and `aim`.
        aim: upper limit of the value; None if there is none.
    """

    name: str
    value: float
    unit: str
    aim: float | None = None


def print_figure(figure: Figure) -> None:
    """Prints a figure as one JSON line, rounded to three decimals."""
    row = dataclasses.asdict(figure) | {"value": round(figure.value, 3)}
    if figure.aim is not None:
        row["is_aim_met"] = figure.value <= figure.aim
    print(json.dumps(row), flush=True)
