"""Figures of a benchmark, printed as JSON lines."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure; the aim is an upper bound, if there is one."""

    name: str
    value: float
    unit: str
    aim: float | None = None


def print_figure(figure: Figure) -> None:
    """Prints a figure as one JSON line."""
    row = dataclasses.asdict(figure) | {"value": round(figure.value, 3)}
    if figure.aim is not None:
        row["is_aim_met"] = figure.value <= figure.aim
    print(json.dumps(row), flush=True)
