"""Work that running streams still have to produce at each target.

A router counts, for each of its streams, the output tokens that are expected
to come, as seconds at the pace at which its streams have produced tokens
lately. The sum over all routers tells how long a batch will last: a stream
that is about to end costs the requests beside it less than one that has just
begun.
"""

from collections.abc import Callable
import dataclasses

from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import output_estimate
from lentilbeam_core.forwarding import requests

UPDATE_EVENTS = 4
"""Events of a stream after which what is left of it is computed again; four
events take about 0.14 s, no more than reports are old."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the work left.

    Attributes:
        min_targets: smallest pool in which it is counted; that of
            `long_prompts`.
        initial_token_s: time in which a stream produces a token, before the
            first sample, in seconds; a step of the known engines takes 4 to 6
            ms.
        prior_tokens: weight of the initial time, in tokens.
        decay_s: time constant of the exponential decay of samples of it, in
            seconds.
        max_error: the load counts as before while the error of the estimated
            lengths is larger, see `estimate_error`. Without any estimate it
            would be about 1.
    """

    min_targets: int = 12
    initial_token_s: float = 0.005
    prior_tokens: float = 500.0
    decay_s: float = 20.0
    max_error: float = 0.9


@dataclasses.dataclass(slots=True)
class Stream:
    """A running stream of this router.

    Attributes:
        request: its request.
        estimate: estimated length of its answer.
        first_event_at: time of its first event, monotonic seconds; None
            before that.
        events: number of its events so far.
    """

    request: requests.Request
    estimate: output_estimate.Estimate
    first_event_at: float | None = None
    events: int = 0


class WorkLeft:
    """Work that the streams of one pool have left.

    Attributes:
        settings: settings of the work left.
        loads: gets what is left at each target.
        estimates: estimates of the lengths of answers.
        estimate: returns the estimate for a request at a time; by default
            that of `estimates`.
        event_tokens: output tokens in each event of a stream; 0 if unknown,
            which disables the count.
        pool_size: number of targets of the last placement.
        streams: running streams of this router, by request ID.
        tokens: decayed number of output tokens of this router's streams.
        seconds: decayed time that they took, in seconds.
        latest: the request that was last estimated, and its estimate.
        latest_own: the request that was last compared with batches, when, and
            the time for its output in seconds; None if that isn't used.
    """

    def __init__(self, settings: Settings, loads: loads_lib.LoadTracker):
        self.settings = settings
        self.loads = loads
        self.estimates = output_estimate.OutputEstimates(
            output_estimate.Settings()
        )
        self.estimate: Callable[
            [requests.Request, float], output_estimate.Estimate
        ] = self.estimates.estimate
        self.event_tokens = 0
        self.pool_size = 0
        self.streams: dict[str, Stream] = {}
        self.tokens = decayed.DecayingSum()
        self.seconds = decayed.DecayingSum()
        self.latest: tuple[str, output_estimate.Estimate] | None = None
        self.latest_own: tuple[str, float, float | None] = ("", 0.0, None)

    def is_counted(self, request: requests.Request) -> bool:
        """Whether what a request has left is counted."""
        return (
            self.event_tokens > 0
            and self.pool_size >= self.settings.min_targets
            and request.prompt is not None
            and request.route.kind is configuration.RouteKind.STREAMING
            and request.route.gap_goal_s > 0
        )

    def is_used(self, request: requests.Request, now: float) -> bool:
        """Whether placement may go by the estimate for a request."""
        error = self.estimates.error
        return self.is_counted(request) and not error.is_above(
            self.settings.max_error, now
        )

    def estimate_held(self, request: requests.Request, now: float) -> float:
        """Returns the KV cache tokens that a request is counted with.

        These are its prompt and the `output_estimate.HIGH_QUANTILE` of its
        output, or the bound of its output if the estimate isn't used; 0 for
        plain services.
        """
        if not self.is_used(request, now):
            return requests.estimate_cache_tokens(request)
        return request.prompt.tokens + self._find_estimate(request, now).high

    def expect_batch(
        self, request: requests.Request, load: loads_lib.Load, now: float
    ) -> float:
        """Returns with how many streams a request will run, on average.

        These are the streams that now run at a target, for as long as they
        last; 0 if that isn't estimated. The times that two streams have left
        are taken as exponentially distributed; the shorter one then has the
        product of their means over the sum.

        Args:
            request: the request.
            load: load of the target.
            now: monotonic seconds.
        """
        if self.event_tokens == 0 or load.running <= 0:
            return 0.0
        own_s = self._find_own(request, now)
        if own_s is None:
            return 0.0
        mean_left_s = max(load.decode_s, 0.0) / load.running
        return load.running * mean_left_s / (mean_left_s + own_s)

    def find_token_s(self, now: float) -> float:
        """Returns the time in which a stream produces a token, in seconds."""
        settings = self.settings
        seconds = self.seconds.read(now, settings.decay_s)
        tokens = self.tokens.read(now, settings.decay_s)
        prior_s = settings.prior_tokens * settings.initial_token_s
        return (seconds + prior_s) / (tokens + settings.prior_tokens)

    def note_start(self, request: requests.Request, now: float) -> None:
        """Records that a request was placed, after `loads` has it."""
        if not self.is_counted(request):
            return
        estimate = self._find_estimate(request, now)
        self.streams[request.request_id] = Stream(request, estimate)
        self._set_left(request.request_id, estimate.mean, now)

    def note_events(self, request_id: str, events: int, now: float) -> None:
        """Records how many events of a stream have arrived.

        Args:
            request_id: its request.
            events: their number since the stream began at its target.
            now: monotonic seconds.
        """
        stream = self.streams.get(request_id)
        if stream is None:
            return
        if stream.first_event_at is None:
            stream.first_event_at = now
        if events - stream.events < UPDATE_EVENTS:
            return
        stream.events = events
        produced = events * self.event_tokens
        self._set_left(request_id, stream.estimate.find_left(produced), now)

    def note_end(
        self, request_id: str, whole_events: int | None, now: float
    ) -> None:
        """Records that a stream has ended.

        Args:
            request_id: its request.
            whole_events: number of events of the whole answer; None if it was
                broken off or began elsewhere.
            now: monotonic seconds.
        """
        stream = self.streams.pop(request_id, None)
        if stream is None or whole_events is None:
            return
        tokens = whole_events * self.event_tokens
        self.estimates.note_output(stream.request, stream.estimate, tokens, now)
        if stream.first_event_at is not None and whole_events > 1:
            decay_s = self.settings.decay_s
            seconds = now - stream.first_event_at
            self.seconds.add(seconds, now, decay_s)
            self.tokens.add(tokens - self.event_tokens, now, decay_s)

    def _find_own(self, request: requests.Request, now: float) -> float | None:
        """Returns the time for a request's output, in seconds.

        None if it isn't used. All targets of a choice ask for the same one.
        """
        name, at, own_s = self.latest_own
        if name == request.request_id and at == now:
            return own_s
        own_s = None
        if self.is_used(request, now):
            mean = self._find_estimate(request, now).mean
            own_s = mean * self.find_token_s(now)
        self.latest_own = (request.request_id, now, own_s)
        return own_s

    def _set_left(self, request_id: str, tokens: float, now: float) -> None:
        decode_s = tokens * self.find_token_s(now)
        self.loads.set_decode_left(request_id, decode_s)

    def _find_estimate(
        self, request: requests.Request, now: float
    ) -> output_estimate.Estimate:
        """Returns the estimate; a pass asks for the same one many times."""
        if self.latest is None or self.latest[0] != request.request_id:
            self.latest = (request.request_id, self.estimate(request, now))
        return self.latest[1]
