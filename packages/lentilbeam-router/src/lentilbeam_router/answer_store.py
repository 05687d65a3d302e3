"""Keeps answers for callers that attach later, limited by size and age."""

import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import kept_answers
from lentilbeam_core import outcome
from lentilbeam_core import request_key
from lentilbeam_router import answer_feed
from lentilbeam_router import problems
from lentilbeam_router import requests
from lentilbeam_router import settings as settings_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A kept answer.

    Attributes:
        feed: the answer, which may still grow.
        fingerprint: fingerprint of the request that it answers.
    """

    feed: answer_feed.AnswerFeed
    fingerprint: str

    @property
    def must_be_reused(self) -> bool:
        """Whether a request with the same key gets this answer.

        If not, the request was refused without being run, so it may be run
        now. An answer that is not complete yet must be reused, too.
        """
        end = self.feed.end
        if isinstance(end, problems.Problem):
            return end.outcome is not outcome.Outcome.REFUSED_NOT_RUN
        return True


class AnswerStore:
    """Running and ended answers, by request key.

    Attributes:
        clock: the router's clock.
        entries: the answers, by workspace and request id.
        retention: applies the limits on the size and age of answers.
    """

    def __init__(self, limits: settings_lib.Limits, clock: clock_lib.Clock):
        self.clock = clock
        self.entries: dict[request_key.RequestKey, Entry] = {}
        self.retention = kept_answers.KeptAnswers(
            kept_answers.Settings(
                max_bytes=limits.kept_answer_bytes,
                max_age_s=limits.kept_answer_s,
            )
        )

    def find(self, workspace: str, request_id: str) -> Entry | None:
        """Returns the answer kept for a request, or None if there is none."""
        self._evict()
        return self.entries.get(request_key.RequestKey(workspace, request_id))

    def open(self, request: requests.CallerRequest) -> answer_feed.AnswerFeed:
        """Returns a new feed for a request; it replaces an earlier one."""
        feed = answer_feed.AnswerFeed(request.request_id)
        self.entries[request.key] = Entry(feed, request.fingerprint)
        self.retention.open(request.key)
        return feed

    def append(
        self,
        request: requests.CallerRequest,
        feed: answer_feed.AnswerFeed,
        data: bytes,
    ) -> None:
        """Appends data to an answer, which may have been evicted meanwhile."""
        feed.append(data)
        if self._is_stored(request, feed):
            self.retention.grow(request.key, len(data))
            self._evict()

    def close(
        self, request: requests.CallerRequest, feed: answer_feed.AnswerFeed
    ) -> None:
        """Records that the answer has ended; its age counts from now."""
        if self._is_stored(request, feed):
            self.retention.end(request.key, self.clock.monotonic())
            self._evict()

    def _is_stored(
        self, request: requests.CallerRequest, feed: answer_feed.AnswerFeed
    ) -> bool:
        entry = self.entries.get(request.key)
        return entry is not None and entry.feed is feed

    def _evict(self) -> None:
        for key in self.retention.evict(self.clock.monotonic()):
            del self.entries[key]
