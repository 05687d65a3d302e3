"""`get [KIND] [NAME]`: shows catalogue entries in force."""

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import exit_status
from lentilbeam_cli import output
from lentilbeam_cli import reading
from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_json

NO_VALUE = "-"
"""Cell of a limit that isn't set, or of a pool without targets."""


async def run(context: context_lib.Context) -> exit_status.ExitStatus:
    """Runs the command and returns its exit status."""
    kind, name, *extra = [*context.options.arguments, None, None]
    kinds = [each.value for each in catalogue.EntryKind]
    if any(extra) or (kind is not None and kind not in kinds):
        return context.report_failure(
            context_lib.build_usage_failure(
                f"get takes one of {', '.join(kinds)} and a name"
            )
        )
    read_result = await reading.read_state(context)
    if read_result.is_error():
        return context.report_failure(read_result.error)
    entries = [
        entry
        for entry in read_result.ok.catalogue.entries()
        if _matches(entry, kind, name)
    ]
    if name is not None and not entries:
        context.out.write_error(f"there is no {kind} {name}")
        return exit_status.ExitStatus.FAILED
    if context.out.is_json:
        dumped = [catalogue_json.dump_entry(entry) for entry in entries]
        context.out.write_json(
            {"offset": read_result.ok.offset, "entries": dumped}
        )
    else:
        _write_tables(context.out, entries)
        context.out.write_line(f"as of offset {read_result.ok.offset}")
    return exit_status.ExitStatus.OK


def _matches(
    entry: catalogue.Entry, kind: str | None, name: str | None
) -> bool:
    key = catalogue.get_key(entry)
    return kind in (None, key.kind.value) and name in (None, key.name)


def _write_tables(out: output.Output, entries: list[catalogue.Entry]) -> None:
    classes, workspaces, pools = [], [], []
    for entry in entries:
        if isinstance(entry, catalogue.WorkspaceClass):
            classes.append(_format_class(entry))
        elif isinstance(entry, catalogue.Workspace):
            workspaces.append(_format_workspace(entry))
        else:
            pools.extend(_format_targets(entry))
    if classes:
        out.write_table(["CLASS", "OWNER", "WEIGHT#", "VERSION#"], classes)
        out.write_line()
    if workspaces:
        columns = ["WORKSPACE", "OWNER", "CLASS", "CONCURRENCY#", "RATE/S#"]
        columns += ["QUEUE#", "LARGEST#", "VERSION#"]
        out.write_table(columns, workspaces)
        out.write_line()
    if pools:
        columns = ["POOL", "OWNER", "SERVICE", "IDEMPOTENT", "TARGET"]
        columns += ["DATA CENTRE", "SLOTS#", "URL", "VERSION#"]
        out.write_table(columns, pools)
        out.write_line()


def _format_class(entry: catalogue.WorkspaceClass) -> list[str]:
    return [entry.name, entry.owner, f"{entry.weight:g}", str(entry.version)]


def _format_workspace(entry: catalogue.Workspace) -> list[str]:
    limits = entry.limits
    return [
        entry.name,
        entry.owner,
        entry.class_name,
        _format_limit(limits.concurrency),
        _format_limit(limits.rate_per_s),
        _format_limit(limits.queue_length),
        _format_limit(limits.largest_request),
        str(entry.version),
    ]


def _format_limit(limit: float | None) -> str:
    return NO_VALUE if limit is None else f"{limit:g}"


def _format_targets(entry: catalogue.Pool) -> list[list[str]]:
    """Returns a row per target; the pool's cells are in the first row."""
    pool = [
        entry.name,
        entry.owner,
        entry.kind.value,
        " ".join(sorted(entry.idempotent_calls)),
    ]
    if not entry.targets:
        return [[*pool, NO_VALUE, "", "", "", str(entry.version)]]
    return [
        [
            *(pool if index == 0 else [""] * len(pool)),
            target.name,
            target.data_centre,
            str(target.slots),
            target.url,
            str(entry.version) if index == 0 else "",
        ]
        for index, target in enumerate(entry.targets)
    ]
