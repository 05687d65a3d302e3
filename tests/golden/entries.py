"""Catalogue of the golden sessions, published as one change record."""

from typing import Any

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import ids

CHANGE_ID = catalogue_change.ChangeId("019b8d3c-5c00-7000-8000-000000000001")
OWNER = "ops"
ENTRIES = (
    {"kind": "class", "name": "studio", "owner": OWNER, "weight": 1.0},
    {
        "kind": "workspace",
        "name": "fairway",
        "owner": OWNER,
        "class": "studio",
        "limits": {"queue_length": 2, "largest_request": 100.0},
    },
    {
        "kind": "pool",
        "name": "assistant",
        "owner": OWNER,
        "service": "model",
        "targets": [
            {
                "name": "engine-1",
                "url": "http://engine-1",
                "data_centre": "east",
                "slots": 2,
            }
        ],
        "idempotent_calls": ["generate"],
    },
    {
        "kind": "pool",
        "name": "bookings",
        "owner": OWNER,
        "service": "plain",
        "targets": [
            {
                "name": "bookings-1",
                "url": "http://bookings-1",
                "data_centre": "east",
                "slots": 1,
            }
        ],
        "idempotent_calls": ["lookup"],
    },
)


def build_change() -> dict[str, Any]:
    """Returns the record of the change that creates all entries."""
    bases = tuple(
        catalogue_change.Base(
            catalogue.EntryKey(
                catalogue.EntryKind(entry["kind"]), entry["name"]
            ),
            ids.Offset(0),
        )
        for entry in ENTRIES
    )
    change = catalogue_change.Change(CHANGE_ID, OWNER, bases, ENTRIES, ())
    return catalogue_change.dump_change(change)
