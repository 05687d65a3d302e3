"""Publishes a change in the log and reads its verdict back."""

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

PAGE_LIMIT = 1000
POLL_S = 0.5
RETRY_S = 0.25


def choose_change_id(
    env: environment.Environment, state: catalogue_state.State
) -> catalogue_change.ChangeId:
    """Returns a new change id, newer than any that was forgotten."""
    unix_ms = int(env.clock.now().timestamp() * 1000)
    if state.newest_evicted_id:
        unix_ms = max(unix_ms, uuid7.unix_ms(state.newest_evicted_id) + 1)
    random_bits = env.rng.getrandbits(uuid7.RANDOM_BITS)
    return catalogue_change.ChangeId(uuid7.encode(unix_ms, random_bits))


class Publisher:
    """Publishes one change.

    A lost answer is looked up in the log by the change's id. The change is
    appended again only where the log, read to its end, does not hold it; a
    repeated id gets its first verdict, so that it never applies twice.
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
        self.is_to_append = True
        self.may_be_appended = False

    async def run(
        self,
    ) -> expression.Result[catalogue_change.Verdict, context_lib.Failure]:
        """Returns the verdict that the log's readers give."""
        clock = self.context.env.clock
        end = clock.monotonic() + self.context.options.timeout_s
        while clock.monotonic() < end:
            if self.is_to_append and not await self._append():
                await asyncio.sleep(RETRY_S)
                continue
            verdict = await self._read_back()
            if verdict is not None:
                return expression.Ok(verdict)
        return expression.Error(self._describe_timeout())

    async def _append(self) -> bool:
        record = catalogue_change.dump_change(self.change)
        appended = await self.log.append(catalogue_log.STREAM, [record])
        if appended.is_error() and appended.error.is_certainly_not_appended:
            return False
        self.may_be_appended = True
        self.is_to_append = False
        return True

    async def _read_back(self) -> catalogue_change.Verdict | None:
        page = await self.log.read(
            catalogue_log.STREAM,
            self.follower.next_read_offset,
            PAGE_LIMIT,
            POLL_S,
        )
        if page.is_error():
            await asyncio.sleep(RETRY_S)
            return None
        progress = self.follower.apply_page(page.ok)
        for verdict in progress.verdicts:
            if verdict.name == self.change.name:
                return verdict
        is_following = self.follower.phase is catalogue_follow.Phase.FOLLOWING
        self.is_to_append = is_following and not page.ok.records
        # After a gap the verdict is in the snapshot that was started from.
        return self.follower.state.verdicts.get(self.change.name)

    def _describe_timeout(self) -> context_lib.Failure:
        if not self.may_be_appended:
            return context_lib.unreachable(
                "the log takes no records; nothing was published"
            )
        return context_lib.Failure(
            exit_status.ExitStatus.OUTCOME_UNKNOWN,
            "no verdict could be read back; repeat the command with"
            f" --change_id={self.change.name}",
        )
