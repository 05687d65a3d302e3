"""Tells other routers what began a stream, and asks them.

A few routers are told with the first event of each stream that callers may take
up, whichever router began it: the next ones after the stream's key on a ring of
all routers. A router that is asked to go on with a stream asks more of them,
since some may have stopped or started since. Nobody waits for an answer unless
a stream is taken up, and the cost of a stream doesn't grow with the fleet.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import hash_ring
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import stream_origins
from lentilbeam_router import addresses
from lentilbeam_router import peer_link
from lentilbeam_router.forwarding import peers as peers_lib

TOLD_ROUTERS = 3
"""Number of other routers that are told what began a stream."""
ASKED_ROUTERS = 6
"""Number of other routers that are asked. Routers that started since a stream
began stand before some that were told."""
RECHECK_INTERVAL_S = 1.0
"""Time, in seconds, after which it is checked whether the routers that keep a
running stream still know it. Those that were restarted or not heard for a while
are told again."""
ASK_TIMES_S = (0.0, 0.1, 0.3)
"""When a question is sent, in seconds since the stream was taken up. Datagrams
may be lost."""
ASK_TIMEOUT_S = 0.6
"""Time, in seconds, after which a stream counts as unknown."""
MAX_MEMORY_AGE_S = 2 * stream_origins.MAX_KEPT_S
"""Longest age of a router's memory that it reports, in seconds."""
MAX_REPORT_ITEMS = 64
"""Number of streams in one report, which bounds the size of its datagram."""


@dataclasses.dataclass(slots=True)
class _RunningStream:
    """A stream that this router passes on.

    Attributes:
        key: key of the stream.
        checked_at: when it was last checked who knows it, monotonic seconds.
        told_at: when each router was last told, monotonic seconds.
    """

    key: int
    checked_at: float
    told_at: dict[ids.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What this router and others know of a stream.

    Attributes:
        origin: what began it; None if nobody knows.
        memory_age_s: for how long the routers that are told of this stream have
            remembered what they are told, in seconds: the longest of those
            that answered. One that began within this time is known to them.
    """

    origin: stream_origins.Origin | None
    memory_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """A question that other routers have yet to answer.

    Attributes:
        unanswered: the routers that have not answered.
        answer: the origin of the stream, once it is known.
        keepers: the routers that are told of the stream.
        memory_ages_s: for how long those that answered have remembered what
            they are told, in seconds.
    """

    unanswered: set[ids.InstanceId]
    answer: asyncio.Future[stream_origins.Origin]
    keepers: frozenset[ids.InstanceId]
    memory_ages_s: list[float] = dataclasses.field(default_factory=list)


class OriginExchange:
    """What this router knows of the origins of streams, and how it learns more.

    Attributes:
        peers: the other routers.
        link: socket on which messages are sent.
        clock: source of monotonic time.
        origins: what is known.
        ring: the other routers, ordered by the hashes of their names.
        whole_ring: the same with this router.
        running: streams that this router passes on, by request ID.
        questions: questions that wait for answers, by key.
        started_at: when this router started, monotonic seconds.
        is_first_of_fleet: whether it did before any stream may have begun.
    """

    def __init__(
        self,
        peers: peers_lib.Peers,
        link: peer_link.PeerLink,
        clock: clock_lib.Clock,
    ):
        self.peers = peers
        self.link = link
        self.clock = clock
        self.origins = stream_origins.StreamOrigins()
        self.ring: hash_ring.HashRing[ids.InstanceId] = hash_ring.HashRing(())
        self.whole_ring = self.ring
        self.running: dict[str, _RunningStream] = {}
        self.questions: dict[int, list[_Question]] = {}
        self.started_at = clock.monotonic()
        self.is_first_of_fleet: Callable[[], bool] = lambda: False

    def note_began(
        self,
        request_id: str,
        key: int,
        origin: stream_origins.Origin,
        kept_s: float,
    ) -> None:
        """Records what began a stream, and tells other routers.

        Must be called before the first event is passed on.

        Args:
            request_id: the request that brings events of the stream.
            key: key of the stream.
            origin: what began it.
            kept_s: for how long callers may take it up, in seconds.
        """
        now = self.clock.monotonic()
        self.origins.note(key, origin, kept_s, now)
        stream = _RunningStream(key, now)
        self.running[request_id] = stream
        self._tell([stream], now)

    def note_end(self, request_id: str) -> None:
        """Records that this router doesn't pass on a stream any more."""
        self.running.pop(request_id, None)

    def tell_again(self) -> None:
        """Tells other routers of running streams that they may not know."""
        now = self.clock.monotonic()
        due = [
            stream
            for stream in self.running.values()
            if now - stream.checked_at >= RECHECK_INTERVAL_S
        ]
        for stream in due:
            stream.checked_at = now
        self._tell(due, now)

    async def find(self, key: int) -> Finding:
        """Returns what began a stream, asking other routers if need be."""
        now = self.clock.monotonic()
        known = self.origins.find(key, now)
        if known is not None:
            return Finding(_as_known(known), 0.0)
        # A router that has just started has heard nobody yet.
        asked = [
            name
            for is_usable in (self._is_alive, self._is_unheard)
            for name in self._find_routers(key, ASKED_ROUTERS, is_usable)
        ]
        question = _Question(
            set(asked),
            asyncio.get_running_loop().create_future(),
            frozenset(self._find_routers(key, TOLD_ROUTERS, lambda name: True)),
        )
        if self._is_keeper(key):
            question.memory_ages_s.append(self._find_memory_age(now))
        if not asked:
            return _build_finding(question)
        self.questions.setdefault(key, []).append(question)
        asking = asyncio.ensure_future(self._ask(key, question))
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await asyncio.shield(question.answer)
        except TimeoutError:
            pass  # The finding then says that nobody knows.
        finally:
            asking.cancel()
            self.questions[key].remove(question)
            if not self.questions[key]:
                del self.questions[key]
        return _build_finding(question)

    def receive(
        self,
        sender: ids.InstanceId,
        message: messages.OriginReport | messages.OriginQuestion,
    ) -> None:
        """Applies a message of another router."""
        now = self.clock.monotonic()
        if isinstance(message, messages.OriginQuestion):
            self._answer(sender, message.key, now)
            return
        for item in message.origins:
            known = stream_origins.UNKNOWN
            if item.kept_ms:
                known = self.origins.note(
                    item.key,
                    stream_origins.Origin(item.pool, item.version),
                    item.kept_ms / messages.MS_PER_S,
                    now,
                )
            for question in self.questions.get(item.key, ()):
                if sender in question.unanswered & question.keepers:
                    question.memory_ages_s.append(
                        message.memory_age_ms / messages.MS_PER_S
                    )
                question.unanswered.discard(sender)
                is_last = not question.unanswered
                if question.answer.done():
                    continue
                if known != stream_origins.UNKNOWN or is_last:
                    question.answer.set_result(known)

    def _answer(self, sender: ids.InstanceId, key: int, now: float) -> None:
        entry = self.peers.listed.get(sender)
        if entry is not None:
            age_s = self._find_memory_age(now)
            report = messages.OriginReport(
                (self._describe(key, now),), age_s * messages.MS_PER_S
            )
            self.link.send(entry.peer, report)

    def _describe(self, key: int, now: float) -> messages.StreamOrigin:
        """Returns what is known of a stream; kept for 0 s if nothing is."""
        origin = self.origins.find(key, now) or stream_origins.UNKNOWN
        kept_ms = self.origins.find_kept_s(key, now) * messages.MS_PER_S
        return messages.StreamOrigin(key, origin.pool, origin.version, kept_ms)

    def _tell(self, streams: Iterable[_RunningStream], now: float) -> None:
        """Tells the routers that keep streams, but those that know them."""
        items: dict[ids.InstanceId, list[messages.StreamOrigin]] = {}
        for stream in streams:
            item = None
            for name in self._find_routers(
                stream.key,
                TOLD_ROUTERS,
                lambda n: self.peers.is_serving(n, now),
            ):
                heard_since = self.peers.last_reports[name].heard_since
                if stream.told_at.get(name, -math.inf) <= heard_since:
                    stream.told_at[name] = now
                    item = item or self._describe(stream.key, now)
                    items.setdefault(name, []).append(item)
        # Mostly all of them are told the same, which is encoded once.
        receivers: dict[
            tuple[messages.StreamOrigin, ...], list[addresses.Address]
        ] = {}
        for name, found in items.items():
            address = self.peers.listed[name].peer
            for start in range(0, len(found), MAX_REPORT_ITEMS):
                part = tuple(found[start : start + MAX_REPORT_ITEMS])
                receivers.setdefault(part, []).append(address)
        for part, told in receivers.items():
            self.link.broadcast(told, messages.OriginReport(part))

    async def _ask(self, key: int, question: _Question) -> None:
        """Sends a question until all routers have answered."""
        began_at = self.clock.monotonic()
        for at in ASK_TIMES_S:
            pause_s = began_at + at - self.clock.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            receivers = [
                self.peers.listed[name].peer for name in question.unanswered
            ]
            self.link.broadcast(receivers, messages.OriginQuestion(key))

    def _is_alive(self, name: ids.InstanceId) -> bool:
        return self.peers.is_alive(name, self.clock.monotonic())

    def _is_unheard(self, name: ids.InstanceId) -> bool:
        return name not in self.peers.last_reports

    def _find_memory_age(self, now: float) -> float:
        """Returns for how long this router has remembered, in seconds."""
        if self.is_first_of_fleet():
            return MAX_MEMORY_AGE_S
        return min(now - self.started_at, MAX_MEMORY_AGE_S)

    def _is_keeper(self, key: int) -> bool:
        """Whether this router is told of a stream that another one began."""
        if len(self.whole_ring.names) != len(self.peers.listed) + 1:
            self.whole_ring = hash_ring.HashRing(
                (*self.peers.listed, self.peers.own_name)
            )
        keepers = self.whole_ring.find(key, TOLD_ROUTERS, lambda name: True)
        return self.peers.own_name in keepers

    def _find_routers(
        self,
        key: int,
        count: int,
        is_usable: Callable[[ids.InstanceId], bool],
    ) -> list[ids.InstanceId]:
        if len(self.ring.names) != len(self.peers.listed):
            self.ring = hash_ring.HashRing(self.peers.listed)
        return self.ring.find(key, count, is_usable)


def _build_finding(question: _Question) -> Finding:
    origin = stream_origins.UNKNOWN
    if question.answer.done() and not question.answer.cancelled():
        origin = question.answer.result()
    memory_age_s = max(question.memory_ages_s, default=0.0)
    return Finding(_as_known(origin), memory_age_s)


def _as_known(origin: stream_origins.Origin) -> stream_origins.Origin | None:
    return None if origin == stream_origins.UNKNOWN else origin
