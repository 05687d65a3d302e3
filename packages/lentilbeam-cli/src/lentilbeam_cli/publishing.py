"""Publishes a change in the log and reads the verdict on it."""

import asyncio

import expression

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_follow
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_state
from lentilbeam_core import uuid7
from lentilbeam_router import platform_log

MAX_PAGE_RECORDS = 1000
LONG_POLL_S = 0.5
"""Longest time that a read of the log waits for new records."""
RETRY_DELAY_S = 0.25
"""Delay after a failed call to the log."""


def generate_change_id(
    env: environment.Environment, state: catalogue_state.State
) -> catalogue_change.ChangeId:
    """Returns a new change ID.

    It is newer than every evicted ID, since changes with older IDs would be
    rejected.

    Args:
        env: source of the time and of random bits.
        state: the catalogue in force, with the newest evicted ID.
    """
    unix_ms = int(env.clock.now().timestamp() * 1000)
    if state.newest_evicted_id:
        unix_ms = max(unix_ms, uuid7.unix_ms(state.newest_evicted_id) + 1)
    random_bits = env.rng.getrandbits(uuid7.RANDOM_BITS)
    return catalogue_change.ChangeId(uuid7.encode(unix_ms, random_bits))


class Publisher:
    """Publishes one change.

    If the response to an append is lost, the log is searched for the change's
    ID. The change is appended again only if the log, read to its end, doesn't
    contain it. Readers of the log give a repeated ID its first verdict, so the
    change is never applied twice.

    Attributes:
        context: context of the command.
        log: client of the log.
        follower: reader of the catalogue's stream of the log.
        change: the change to publish.
        must_append: whether the change is to be appended next.
        may_have_been_appended: whether the log may contain the change.
    """

    def __init__(
        self,
        context: context_lib.Context,
        log: platform_log.LogClient,
        follower: catalogue_follow.Follower,
        change: catalogue_change.Change,
    ):
        self.context = context
        self.log = log
        self.follower = follower
        self.change = change
        self.must_append = True
        self.may_have_been_appended = False

    async def run(
        self,
    ) -> expression.Result[catalogue_change.Verdict, context_lib.Failure]:
        """Publishes the change and returns the verdict on it.

        The result is a failure if the verdict could not be read within the
        time given by the option --timeout_s.
        """
        clock = self.context.env.clock
        deadline = clock.monotonic() + self.context.options.timeout_s
        while clock.monotonic() < deadline:
            if self.must_append and not await self._append():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            verdict = await self._read_verdict()
            if verdict is not None:
                return expression.Ok(verdict)
        return expression.Error(self._build_timeout_failure())

    async def _append(self) -> bool:
        """Appends the change; returns whether the log may contain it."""
        record = catalogue_change.dump_change(self.change)
        appended = await self.log.append(catalogue_log.STREAM, [record])
        if appended.is_error() and appended.error.is_certainly_not_appended:
            return False
        self.may_have_been_appended = True
        self.must_append = False
        return True

    async def _read_verdict(self) -> catalogue_change.Verdict | None:
        """Reads the next page; returns the verdict if it is known by then."""
        page = await self.log.read(
            catalogue_log.STREAM,
            self.follower.next_read_offset,
            MAX_PAGE_RECORDS,
            LONG_POLL_S,
        )
        if page.is_error():
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        progress = self.follower.apply_page(page.ok)
        for verdict in progress.verdicts:
            if verdict.change_id == self.change.change_id:
                return verdict
        is_following = self.follower.phase is catalogue_follow.Phase.FOLLOWING
        self.must_append = is_following and not page.ok.records
        # If records expired before they were read, the verdict is in the
        # snapshot from which the follower continued.
        return self.follower.state.verdicts.get(self.change.change_id)

    def _build_timeout_failure(self) -> context_lib.Failure:
        if not self.may_have_been_appended:
            return context_lib.build_unreachable_failure(
                "the log takes no records; nothing was published"
            )
        return context_lib.Failure(
            exit_status.ExitStatus.OUTCOME_UNKNOWN,
            "no verdict could be read back; repeat the command with"
            f" --change_id={self.change.change_id}",
        )
