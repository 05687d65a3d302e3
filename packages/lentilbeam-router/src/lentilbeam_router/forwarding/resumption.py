"""The stream that a request begins or goes on with."""

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import stream_origins
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import origin_exchange as origin_exchange_lib
from lentilbeam_router.forwarding import wire as wire_lib

KEPT_MARGIN_S = 5.0
"""Time, in seconds, for which the origin of a stream is remembered beyond the
deadline of the request that began it."""


class Resumption:
    """What is known of the stream of one request.

    Attributes:
        request_head: head of the request.
        request: the request.
        exchange: tells and finds out what began streams.
        clock: source of monotonic time.
        origin: what began the stream; None if nothing has yet, or if it is
            unknown.
    """

    def __init__(
        self,
        request_head: wire_lib.RequestHead,
        request: requests.Request,
        exchange: origin_exchange_lib.OriginExchange,
        clock: clock_lib.Clock,
    ):
        self.request_head = request_head
        self.request = request
        self.exchange = exchange
        self.clock = clock
        self.origin: stream_origins.Origin | None = None

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller goes on with a stream that was cut."""
        return (
            self.request.route.kind is configuration.RouteKind.STREAMING
            and self.request_head.resume_after is not None
        )

    @property
    def version(self) -> str | None:
        """The only software version that may run it; None if any may."""
        return self.origin.version if self.origin is not None else None

    async def find_origin(self, targets: target_list.TargetList) -> bool:
        """Finds out what began the stream that the caller takes up.

        Args:
            targets: targets of all pools.

        Returns:
            Whether it is known.
        """
        resumes = self.request_head.resumes
        if resumes is None:
            self.origin = self._find_only_origin(targets)
        elif resumes:
            self.origin = await self.exchange.find(self._compute_key())
        return self.origin is not None

    def note_began(self, target: target_list.Entry) -> None:
        """Records what began the stream, before its first event is passed on.

        A stream that goes on is recorded again: routers that knew it may have
        been restarted.
        """
        route = self.request.route
        if self.origin is None:
            self.origin = stream_origins.Origin(
                self.request.pool, target.version
            )
        if not route.is_resumable or not self.origin.version:
            return
        self.exchange.note_began(
            self.request.request_id,
            self._compute_key(),
            self.origin,
            self._compute_kept_s(),
        )

    def note_end(self) -> None:
        """Records that the request has ended."""
        self.exchange.note_end(self.request.request_id)

    def _find_only_origin(
        self, targets: target_list.TargetList
    ) -> stream_origins.Origin | None:
        """Returns the origin of any stream if there is only one version.

        Callers that don't name the request that began their stream predate
        software versions.
        """
        pool = self.request.pool
        if len(self.request.route.pool_weights) != 1:
            return None
        version = targets.find_only_version(
            pool, self._compute_kept_s(), self.clock.monotonic()
        )
        if version is None:
            return None
        return stream_origins.Origin(pool, version)

    def _compute_kept_s(self) -> float:
        """Returns for how long the stream may be taken up, in seconds."""
        deadline_s = self.request_head.deadline_s or 0.0
        return max(deadline_s, self.request.route.timeout_s) + KEPT_MARGIN_S

    def _compute_key(self) -> int:
        """Returns the key of the stream: that of its caller's first request."""
        return stream_origins.compute_key(
            self.request.workspace,
            self.request_head.resumes or self.request.request_id,
        )
