"""Catalogue files: `{"entries": [...], "deletes": [{"kind", "name"}]}`."""

import dataclasses
import pathlib
from typing import Any

import msgspec

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_json
from lentilbeam_core import findings

ENTRIES = "entries"
DELETES = "deletes"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where in which file something stands."""

    path: str
    pointer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedFinding:
    """A finding about catalogue files."""

    place: Place
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class SourceEntry:
    """A well-formed entry of a file, as data and typed."""

    place: Place
    raw: dict[str, Any]
    entry: catalogue.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class SourceDeletion:
    """A key that a file deletes."""

    place: Place
    key: catalogue.EntryKey


@dataclasses.dataclass(slots=True)
class Sources:
    """All that the given files hold, and all that is wrong with them."""

    entries: list[SourceEntry] = dataclasses.field(default_factory=list)
    deletions: list[SourceDeletion] = dataclasses.field(default_factory=list)
    findings: list[PlacedFinding] = dataclasses.field(default_factory=list)

    def find(self, place: Place, message: str) -> None:
        """Adds a finding."""
        self.findings.append(PlacedFinding(place, message))


def read_sources(names: tuple[str, ...]) -> Sources:
    """Reads files, and all .json files in folders."""
    sources = Sources()
    for name in names:
        path = pathlib.Path(name)
        paths = sorted(path.rglob("*.json")) if path.is_dir() else [path]
        if not paths:
            sources.find(Place(name, ""), "holds no .json files")
        for each in paths:
            _read_file(sources, each)
    _find_repeated(sources)
    return sources


def _read_file(sources: Sources, path: pathlib.Path) -> None:
    place = Place(str(path), "")
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        sources.find(place, f"cannot be read: {error.strerror}")
        return
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        sources.find(place, f"is not JSON: {error}")
        return
    except RecursionError:
        sources.find(place, "is nested too deeply")
        return
    if not isinstance(document, dict):
        sources.find(place, "is not an object")
        return
    if ENTRIES not in document and DELETES not in document:
        sources.find(place, f"has neither '{ENTRIES}' nor '{DELETES}'")
    for index, raw in enumerate(_read_list(sources, path, document, ENTRIES)):
        _read_entry(sources, Place(str(path), f"/{ENTRIES}/{index}"), raw)
    for index, raw in enumerate(_read_list(sources, path, document, DELETES)):
        _read_deletion(sources, Place(str(path), f"/{DELETES}/{index}"), raw)


def _read_list(
    sources: Sources, path: pathlib.Path, document: dict[str, Any], name: str
) -> list[Any]:
    value = document.get(name, [])
    if isinstance(value, list):
        return value
    sources.find(Place(str(path), f"/{name}"), "is not a list")
    return []


def _read_entry(sources: Sources, place: Place, raw: Any) -> None:
    parsed = catalogue_json.parse_entry(raw, place.pointer)
    if parsed.is_ok():
        sources.entries.append(SourceEntry(place, raw, parsed.ok))
    else:
        _add_findings(sources, place.path, parsed.error)


def _read_deletion(sources: Sources, place: Place, raw: Any) -> None:
    parsed = catalogue_change.parse_key(raw, place.pointer)
    if parsed.is_ok():
        sources.deletions.append(SourceDeletion(place, parsed.ok))
    else:
        _add_findings(sources, place.path, parsed.error)


def _add_findings(
    sources: Sources, path: str, found: tuple[findings.Finding, ...]
) -> None:
    for finding in found:
        sources.find(Place(path, finding.pointer), finding.message)


def _find_repeated(sources: Sources) -> None:
    first: dict[catalogue.EntryKey, Place] = {}
    keyed = [
        (catalogue.get_key(source.entry), source.place)
        for source in sources.entries
    ]
    keyed += [(source.key, source.place) for source in sources.deletions]
    for key, place in keyed:
        if key in first:
            earlier = first[key]
            sources.find(
                place,
                f"{key} is at {earlier.path} {earlier.pointer} already",
            )
        first.setdefault(key, place)
