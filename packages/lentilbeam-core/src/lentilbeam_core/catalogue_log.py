"""Evaluation of the catalogue's log stream, in log order.

The verdict on a change depends only on the records up to and including it.
So all readers of the log agree, and an accepted change is never reverted.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_json
from lentilbeam_core import catalogue_rules
from lentilbeam_core import catalogue_state
from lentilbeam_core import findings
from lentilbeam_core import ids

STREAM = "catalogue"
MAX_FINDINGS = 64
"""Maximum number of findings in a verdict; one more then gives the number of
those left out."""


def apply_record(
    state: catalogue_state.State, offset: ids.Offset, value: Any
) -> catalogue_change.Verdict | None:
    """Applies the next record of the log to the state.

    Records up to the state's offset are ignored. A record that is no change
    only advances the offset.

    Args:
        state: the state; is modified.
        offset: offset of the record.
        value: the record, as JSON data.

    Returns:
        The verdict if the record is a change with a valid id, else None. A
        change with the id of an earlier one gets that one's verdict.
    """
    if offset <= state.offset:
        return None
    state.offset = offset
    if not isinstance(value, dict):
        return None
    if value.get(catalogue_change.RECORD_FIELD) != catalogue_change.CHANGE:
        return None
    parsed = catalogue_change.parse_change(value)
    if parsed.is_ok():
        return _evaluate_change(state, offset, parsed.ok)
    if parsed.error is None:
        return None
    return _evaluate_malformed(state, offset, parsed.error)


def check_change(
    state: catalogue_state.State, change: catalogue_change.Change
) -> list[findings.Finding]:
    """Returns why the change would be rejected; empty if it wouldn't.

    The state is not modified.
    """
    edit, found = _parse_edit(change)
    return [*found, *_check_edit(state, change, edit)]


def check_content(
    state: catalogue_state.State, change: catalogue_change.Change
) -> list[findings.Finding]:
    """Returns the findings about the content of the change.

    Unlike `check_change` it checks neither the bases nor the owners. The
    state is not modified.
    """
    edit, found = _parse_edit(change)
    return [*found, *_check_content(state, change, edit)]


def find_winner(
    state: catalogue_state.State, change: catalogue_change.Change
) -> catalogue_change.Winner | None:
    """Returns the latest change that outdated the bases of this change.

    None if all bases are current.
    """
    offsets = [
        state.get_last_change(base.key)
        for base in change.bases
        if state.version(base.key) != base.version
    ]
    latest = max(offsets, default=ids.Offset(0))
    return state.get_winner(latest) if latest else None


def _evaluate_change(
    state: catalogue_state.State,
    offset: ids.Offset,
    change: catalogue_change.Change,
) -> catalogue_change.Verdict:
    earlier = _find_earlier_verdict(
        state, offset, change.change_id, change.operator
    )
    if earlier is not None:
        return earlier
    edit, found = _parse_edit(change)
    found.extend(_check_edit(state, change, edit))
    if found:
        winner = find_winner(state, change)
        verdict = _reject(
            offset, change.change_id, change.operator, found, winner
        )
    else:
        _apply(state, offset, edit)
        verdict = catalogue_change.Verdict(
            change.change_id,
            change.operator,
            offset,
            catalogue_change.Status.ACCEPTED,
        )
    state.add_verdict(verdict)
    return verdict


def _evaluate_malformed(
    state: catalogue_state.State,
    offset: ids.Offset,
    change: catalogue_change.MalformedChange,
) -> catalogue_change.Verdict:
    earlier = _find_earlier_verdict(
        state, offset, change.change_id, change.operator
    )
    if earlier is not None:
        return earlier
    verdict = _reject(
        offset, change.change_id, change.operator, list(change.findings)
    )
    state.add_verdict(verdict)
    return verdict


def _find_earlier_verdict(
    state: catalogue_state.State,
    offset: ids.Offset,
    change_id: catalogue_change.ChangeId,
    operator: str,
) -> catalogue_change.Verdict | None:
    """Returns the verdict on an earlier change with this id.

    If that verdict may have been evicted, returns a rejection; else None.
    """
    earlier = state.verdicts.get(change_id)
    if earlier is not None or change_id > state.newest_evicted_id:
        return earlier
    finding = findings.Finding(
        "/id", "is too old: the verdict on it may have been forgotten"
    )
    return _reject(offset, change_id, operator, [finding])


def _reject(
    offset: ids.Offset,
    change_id: catalogue_change.ChangeId,
    operator: str,
    found: list[findings.Finding],
    winner: catalogue_change.Winner | None = None,
) -> catalogue_change.Verdict:
    kept = found[:MAX_FINDINGS]
    left_out = len(found) - len(kept)
    if left_out:
        kept.append(findings.Finding("", f"{left_out} more findings"))
    return catalogue_change.Verdict(
        change_id,
        operator,
        offset,
        catalogue_change.Status.REJECTED,
        tuple(kept),
        winner,
    )


def _parse_edit(
    change: catalogue_change.Change,
) -> tuple[catalogue_rules.Edit, list[findings.Finding]]:
    upserts, found = [], []
    for index, raw in enumerate(change.upserts):
        pointer = f"/upserts/{index}"
        entry = catalogue_json.parse_entry_into(raw, pointer, found)
        if entry is not None:
            upserts.append(catalogue_rules.Upsert(pointer, entry))
    deletions = [
        catalogue_rules.LocatedKey(f"/deletes/{index}", key)
        for index, key in enumerate(change.deletes)
    ]
    upserted_keys = {catalogue_json.read_key(raw) for raw in change.upserts} - {
        None
    }
    edit = catalogue_rules.Edit(
        tuple(upserts), tuple(deletions), frozenset(upserted_keys)
    )
    return edit, found


def _check_edit(
    state: catalogue_state.State,
    change: catalogue_change.Change,
    edit: catalogue_rules.Edit,
) -> Iterator[findings.Finding]:
    yield from _check_bases(state, change, edit)
    yield from _check_owners(state, change.operator, edit)
    yield from _check_content(state, change, edit)


def _check_content(
    state: catalogue_state.State,
    change: catalogue_change.Change,
    edit: catalogue_rules.Edit,
) -> Iterator[findings.Finding]:
    yield from _check_keys(change, edit)
    yield from _check_deletions(state, edit)
    yield from catalogue_rules.check_edit(state, edit)


def _check_keys(
    change: catalogue_change.Change, edit: catalogue_rules.Edit
) -> Iterator[findings.Finding]:
    if not change.upserts and not change.deletes:
        yield findings.Finding("", "changes nothing")
    seen = set()
    for changed in _list_keys(edit):
        if changed.key in seen:
            yield findings.Finding(
                changed.pointer, f"{changed.key} is there more than once"
            )
        seen.add(changed.key)


def _list_keys(
    edit: catalogue_rules.Edit,
) -> Iterator[catalogue_rules.LocatedKey]:
    for upsert in edit.upserts:
        key = catalogue.get_key(upsert.entry)
        yield catalogue_rules.LocatedKey(upsert.pointer, key)
    yield from edit.deletions


def _check_bases(
    state: catalogue_state.State,
    change: catalogue_change.Change,
    edit: catalogue_rules.Edit,
) -> Iterator[findings.Finding]:
    for index, base in enumerate(change.bases):
        version = state.version(base.key)
        if version != base.version:
            now = f"at version {version}" if version else "not there"
            was = f"version {base.version}" if base.version else "its absence"
            yield findings.Finding(
                f"/bases/{index}",
                f"{base.key} is {now}, the change was based on {was}",
            )
    based = {base.key for base in change.bases}
    for changed in _list_keys(edit):
        if changed.key not in based:
            yield findings.Finding(
                changed.pointer, f"no base is given for {changed.key}"
            )


def _check_owners(
    state: catalogue_state.State,
    operator: str,
    edit: catalogue_rules.Edit,
) -> Iterator[findings.Finding]:
    for upsert in edit.upserts:
        old = state.catalogue.find(catalogue.get_key(upsert.entry))
        owner = old.owner if old else upsert.entry.owner
        if owner != operator:
            yield findings.Finding(
                findings.join_pointer(upsert.pointer, "owner"),
                f"owned by {owner}, so {operator} may not change it",
            )
    for deletion in edit.deletions:
        old = state.catalogue.find(deletion.key)
        if old and old.owner != operator:
            yield findings.Finding(
                deletion.pointer,
                f"owned by {old.owner}, so {operator} may not delete it",
            )


def _check_deletions(
    state: catalogue_state.State, edit: catalogue_rules.Edit
) -> Iterator[findings.Finding]:
    for deletion in edit.deletions:
        if state.catalogue.find(deletion.key) is None:
            yield findings.Finding(
                deletion.pointer, f"there is no {deletion.key}"
            )


def _apply(
    state: catalogue_state.State,
    offset: ids.Offset,
    edit: catalogue_rules.Edit,
) -> None:
    for deletion in edit.deletions:
        state.delete(deletion.key, offset)
    for upsert in edit.upserts:
        state.put(dataclasses.replace(upsert.entry, version=offset))
