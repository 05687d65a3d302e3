"""The stream that a request begins or goes on with."""

from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import stream_origins
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import origin_search as origin_search_lib
from lentilbeam_router.forwarding import wire as wire_lib


class Resumption:
    """What is known of the stream of one request.

    Attributes:
        request_head: head of the request.
        request: the request.
        search: records and finds out what began streams.
        origin: what began the stream; None if nothing has yet, or if it is
            unknown.
    """

    def __init__(
        self,
        request_head: wire_lib.RequestHead,
        request: requests.Request,
        search: origin_search_lib.OriginSearch,
    ):
        self.request_head = request_head
        self.request = request
        self.search = search
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

    @property
    def starts_resumable(self) -> bool:
        """Whether the request begins a stream that callers may resume."""
        return (
            self.request.route.is_resumable
            and self.request_head.resume_after is None
            and self.origin is None
        )

    async def find_origin(self) -> bool:
        """Finds out what began the stream that the caller takes up.

        Returns:
            Whether it is known.
        """
        resumes = self.request_head.resumes
        if resumes == "":
            return False
        pools = [weight.pool for weight in self.request.route.pool_weights]
        key = None if resumes is None else self.compute_key()
        self.origin = await self.search.find(key, pools)
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
        deadline_s = self.request_head.deadline_s or 0.0
        self.search.note_began(
            self.request.request_id,
            self.compute_key(),
            self.origin,
            max(deadline_s, route.timeout_s),
        )

    def note_end(self) -> None:
        """Records that the request has ended."""
        self.search.exchange.note_end(self.request.request_id)

    def compute_key(self) -> int:
        """Returns the key of the stream: that of its caller's first request."""
        return stream_origins.compute_key(
            self.request.workspace,
            self.request_head.resumes or self.request.request_id,
        )
