"""Model of an inference engine with batching, chunked prefill and a cache.

An engine admits requests in order of arrival, without priorities. Each step
generates one token for every running request and prefills one chunk of one
prompt.
"""

import collections
import dataclasses

from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Performance figures of an engine, from the users' data sheets.

    Attributes:
        slots: maximum number of requests that run at once.
        cache_tokens: memory for running requests and cached prompt parts, in
            tokens.
        step_s: fixed time of a step, in seconds.
        step_slot_s: additional time of a step per running request, in
            seconds.
        chunk_tokens: maximum number of prompt tokens prefilled in a step.
        read_tokens_per_s: prefill rate.
        event_tokens: output tokens in each event of a stream.
        fetch_s: fixed time to transfer cached parts from another engine, in
            seconds.
        fetch_token_s: additional transfer time per token, in seconds. An
            engine sends its transfers one after another.
    """

    slots: int = 64
    cache_tokens: int = 650_000
    step_s: float = 0.00323
    step_slot_s: float = 0.0000483
    chunk_tokens: int = 4096
    read_tokens_per_s: float = 112_000.0
    event_tokens: int = 6
    fetch_s: float = 0.0027
    fetch_token_s: float = 1.08e-6


@dataclasses.dataclass(slots=True)
class Job:
    """A request at an engine, with its progress.

    Attributes:
        request: the request.
        output: length of its answer in tokens.
        left_to_read: prompt tokens still to prefill; -1 until admitted.
        made: output tokens generated so far.
        first_at: time of its first event; None before that.
        event_at: time of its latest event.
        longest_gap_s: longest time between two events, in seconds.
    """

    request: requests.Request
    output: int
    left_to_read: int = -1
    made: int = 0
    first_at: float | None = None
    event_at: float = 0.0
    longest_gap_s: float = 0.0


class Engine:
    """Simulated engine, advanced one batch step at a time by `step`.

    Attributes:
        settings: performance figures.
        cache: prompt parts in the engine's cache.
        waiting: requests without a slot, in order of arrival.
        reading: requests whose prompts are being prefilled, in order.
        running: requests that generate output.
        held: tokens of memory that admitted requests occupy.
        read_tokens: prompt tokens prefilled so far.
        reread_tokens: tokens of shared parts prefilled again after eviction.
        seen_parts: names of the shared parts admitted so far.
        busy_s: total time of all steps, in seconds.
        sending_until: time at which the last transfer to another engine ends.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.cache = prompt_cache.TargetCache()
        self.waiting: collections.deque[Job] = collections.deque()
        self.reading: collections.deque[Job] = collections.deque()
        self.running: list[Job] = []
        self.held = 0.0
        self.read_tokens = 0
        self.reread_tokens = 0
        self.seen_parts: set[str] = set()
        self.busy_s = 0.0
        self.sending_until = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the engine has no requests."""
        return not (self.waiting or self.reading or self.running)

    def submit(self, job: Job) -> None:
        """Adds a request to the waiting queue."""
        self.waiting.append(job)

    def lend(self, tokens: int, now: float) -> float:
        """Queues a transfer of cached tokens to another engine.

        Returns:
            The time at which the transfer ends.
        """
        settings = self.settings
        length_s = settings.fetch_s + tokens * settings.fetch_token_s
        self.sending_until = max(self.sending_until, now) + length_s
        return self.sending_until

    def borrow(self, parts: tuple[requests.Part, ...]) -> None:
        """Caches prompt parts that were fetched from another engine."""
        self.cache.add_parts(parts, self._find_room())

    def step(self, now: float) -> tuple[float, list[Job], list[Job]]:
        """Runs one step that starts at `now`.

        Returns:
            The duration of the step in seconds, the requests that produced
            their first event and the requests that completed.
        """
        self._admit()
        settings = self.settings
        length_s = settings.step_s + settings.step_slot_s * len(self.running)
        begun = []
        if self.reading:
            job = self.reading[0]
            chunk = min(job.left_to_read, settings.chunk_tokens)
            job.left_to_read -= chunk
            self.read_tokens += chunk
            length_s += chunk / settings.read_tokens_per_s
            if job.left_to_read == 0:
                begun.append(self.reading.popleft())
        at = now + length_s
        ended = self._decode(at)
        for job in begun:
            job.first_at = job.event_at = at
            job.made = 1
            self.running.append(job)
            self.cache.add_parts(job.request.prompt.parts, self._find_room())
        self.busy_s += length_s
        return length_s, begun, ended

    def _admit(self) -> None:
        while self.waiting:
            taken = len(self.running) + len(self.reading)
            job = self.waiting[0]
            memory = requests.estimate_memory(job.request)
            is_full = self.held + memory > self.settings.cache_tokens
            if taken >= self.settings.slots or (is_full and taken):
                return
            self.waiting.popleft()
            self.held += memory
            prompt = job.request.prompt
            kept = self.cache.count_cached(prompt.parts)
            job.left_to_read = max(prompt.tokens - kept, 1)
            for part in prompt.parts[:-1]:
                if part.name in self.seen_parts and kept <= 0:
                    self.reread_tokens += part.tokens
                kept -= part.tokens
                self.seen_parts.add(part.name)
            self.reading.append(job)

    def _decode(self, at: float) -> list[Job]:
        ended = []
        for job in self.running:
            job.made += 1
            is_over = job.made >= job.output
            if is_over or job.made % self.settings.event_tokens == 0:
                gap_s = at - job.event_at
                job.longest_gap_s = max(job.longest_gap_s, gap_s)
                job.event_at = at
            if is_over:
                ended.append(job)
        for job in ended:
            self.running.remove(job)
            self.held -= requests.estimate_memory(job.request)
        return ended

    def _find_room(self) -> float:
        return max(self.settings.cache_tokens - self.held, 0.0)
