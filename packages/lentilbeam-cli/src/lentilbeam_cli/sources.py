"""Reads catalogue files.

A file contains a JSON object `{"entries": [...], "deletes": [...]}`. The
members of "deletes" have the form `{"kind": ..., "name": ...}`.
"""

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
class Location:
    """A location in a catalogue file.

    Attributes:
        path: path of the file or folder; empty for a finding about a whole
            change.
        pointer: JSON pointer within the file; empty for the whole file.
    """

    path: str
    pointer: str


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedFinding:
    """A finding about a catalogue file.

    Attributes:
        location: what the finding is about.
        message: description of the fault.
    """

    location: Location
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class SourceEntry:
    """A valid entry of a file.

    Attributes:
        location: location of the entry.
        raw: the entry as JSON data.
        entry: the parsed entry.
    """

    location: Location
    raw: dict[str, Any]
    entry: catalogue.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class SourceDeletion:
    """An entry that a file deletes.

    Attributes:
        location: location of the deletion.
        key: kind and name of the entry to delete.
    """

    location: Location
    key: catalogue.EntryKey


@dataclasses.dataclass(slots=True)
class Sources:
    """Contents of catalogue files.

    Attributes:
        entries: valid entries.
        deletions: valid deletions.
        findings: all faults of the files.
    """

    entries: list[SourceEntry] = dataclasses.field(default_factory=list)
    deletions: list[SourceDeletion] = dataclasses.field(default_factory=list)
    findings: list[LocatedFinding] = dataclasses.field(default_factory=list)

    def add_finding(self, location: Location, message: str) -> None:
        """Adds a finding."""
        self.findings.append(LocatedFinding(location, message))


def read_sources(names: tuple[str, ...]) -> Sources:
    """Reads catalogue files.

    Faults, such as an unreadable file, are added to the findings.

    Args:
        names: paths of files and folders. In folders, all .json files are
            read, also in subfolders.
    """
    sources = Sources()
    for name in names:
        path = pathlib.Path(name)
        paths = sorted(path.rglob("*.json")) if path.is_dir() else [path]
        if not paths:
            sources.add_finding(Location(name, ""), "contains no .json files")
        for each in paths:
            _read_file(sources, each)
    _find_duplicate_keys(sources)
    return sources


def _read_file(sources: Sources, path: pathlib.Path) -> None:
    location = Location(str(path), "")
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        sources.add_finding(location, f"cannot be read: {error.strerror}")
        return
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        sources.add_finding(location, f"is not JSON: {error}")
        return
    except RecursionError:
        sources.add_finding(location, "is nested too deeply")
        return
    if not isinstance(document, dict):
        sources.add_finding(location, "is not an object")
        return
    if ENTRIES not in document and DELETES not in document:
        sources.add_finding(
            location, f"has neither '{ENTRIES}' nor '{DELETES}'"
        )
    for index, raw in enumerate(_read_list(sources, path, document, ENTRIES)):
        _read_entry(sources, Location(str(path), f"/{ENTRIES}/{index}"), raw)
    for index, raw in enumerate(_read_list(sources, path, document, DELETES)):
        _read_deletion(sources, Location(str(path), f"/{DELETES}/{index}"), raw)


def _read_list(
    sources: Sources, path: pathlib.Path, document: dict[str, Any], name: str
) -> list[Any]:
    """Returns the list at a key of a document.

    The result is empty if the key is absent or its value is not a list, which
    is added to the findings.
    """
    value = document.get(name, [])
    if isinstance(value, list):
        return value
    sources.add_finding(Location(str(path), f"/{name}"), "is not a list")
    return []


def _read_entry(sources: Sources, location: Location, raw: Any) -> None:
    parsed = catalogue_json.parse_entry(raw, location.pointer)
    if parsed.is_ok():
        sources.entries.append(SourceEntry(location, raw, parsed.ok))
    else:
        _add_findings(sources, location.path, parsed.error)


def _read_deletion(sources: Sources, location: Location, raw: Any) -> None:
    parsed = catalogue_change.parse_key(raw, location.pointer)
    if parsed.is_ok():
        sources.deletions.append(SourceDeletion(location, parsed.ok))
    else:
        _add_findings(sources, location.path, parsed.error)


def _add_findings(
    sources: Sources, path: str, parse_findings: tuple[findings.Finding, ...]
) -> None:
    for finding in parse_findings:
        sources.add_finding(Location(path, finding.pointer), finding.message)


def _find_duplicate_keys(sources: Sources) -> None:
    """Adds a finding for each entry or deletion whose key occurs before."""
    first_locations: dict[catalogue.EntryKey, Location] = {}
    located_keys = [
        (catalogue.get_key(source.entry), source.location)
        for source in sources.entries
    ]
    located_keys += [
        (source.key, source.location) for source in sources.deletions
    ]
    for key, location in located_keys:
        if key in first_locations:
            earlier = first_locations[key]
            sources.add_finding(
                location,
                f"{key} is at {earlier.path} {earlier.pointer} already",
            )
        first_locations.setdefault(key, location)
