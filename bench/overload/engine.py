"""Model of an inference engine with batching, chunked prefill and a KV cache.

An engine admits requests in order of arrival, without priorities. Each step
generates one token for every running request and prefills one chunk of one
prompt, so streams pause while prompts are prefilled.
"""

import collections
import dataclasses
import hashlib
import math

from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Performance figures of an engine, from the users' data sheets.

    Attributes:
        slots: maximum number of requests that run at once.
        cache_tokens: size of the KV cache, for running requests and cached
            prompt parts, in tokens.
        step_s: fixed time of a step, in seconds.
        step_slot_s: additional time of a step per running request, in
            seconds.
        chunk_tokens: maximum number of prompt tokens prefilled in a step.
        prefill_tokens_per_s: prefill rate at the beginning of a prompt.
        double_tokens: number of preceding tokens, cached ones included, that
            double the time to prefill a token.
        noise_factor: factor on the duration of all steps in noisy intervals.
        noise_interval_s: length of an interval that is noisy or not, in
            seconds.
        noise_fraction: fraction of the intervals that are noisy.
        event_tokens: output tokens in each event of a stream.
        speed: factor on the speed of all steps.
        slow_speed: additional factor from `slow_from_s` to `slow_until_s`.
        slow_from_s: see above, in seconds.
        slow_until_s: see above, in seconds.
        first_event_s: time from the end of prefill until the first event
            reaches the router, in seconds, beyond the network delay. Engines
            with many running streams and routers that share a processor take
            some 0.1 s.
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
    prefill_tokens_per_s: float = 112_000.0
    double_tokens: float = math.inf
    noise_factor: float = 1.0
    noise_interval_s: float = 0.5
    noise_fraction: float = 0.0
    event_tokens: int = 6
    speed: float = 1.0
    slow_speed: float = 1.0
    slow_from_s: float = 0.0
    slow_until_s: float = 0.0
    first_event_s: float = 0.0
    fetch_s: float = 0.0027
    fetch_token_s: float = 1.08e-6


@dataclasses.dataclass(slots=True)
class Job:
    """A request at an engine, with its progress.

    Attributes:
        request: the request.
        output: length of its answer in tokens.
        unread_tokens: prompt tokens still to prefill; -1 until admitted.
        generated_tokens: output tokens generated so far.
        first_event_at: time of its first event; None before that.
        last_event_at: time of its latest event.
        longest_gap_s: longest time between two events, in seconds.
        events: number of events so far.
        largest_other_tokens: most tokens to prefill of a prompt that the
            engine admitted while this request generated output.
    """

    request: requests.Request
    output: int
    unread_tokens: int = -1
    generated_tokens: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    events: int = 0
    largest_other_tokens: int = 0

    @property
    def held(self) -> int:
        """Tokens of the KV cache that the request occupies at its end."""
        return self.request.prompt.tokens + self.output


class Engine:
    """Simulated engine, advanced one batch step at a time by `step`.

    Attributes:
        settings: performance figures.
        name: name of the engine; decides which intervals are noisy.
        cache: prompt parts in the engine's KV cache.
        waiting: requests without a slot, in order of arrival.
        prefilling: requests whose prompts are being prefilled, in order.
        running: requests that generate output.
        reserved_tokens: tokens of the KV cache that are reserved for admitted
            requests.
        prefilled_tokens: prompt tokens prefilled so far.
        repeated_prefill_tokens: tokens of shared parts that were admitted
            before and are not in the cache at admission.
        seen_parts: names of the shared parts admitted so far.
        busy_s: total time of all steps, in seconds.
        sending_until: time at which the last transfer to another engine ends.
    """

    def __init__(self, settings: Settings, name: str = ""):
        self.settings = settings
        self.name = name
        self.cache = prompt_cache.TargetCache()
        self.waiting: collections.deque[Job] = collections.deque()
        self.prefilling: collections.deque[Job] = collections.deque()
        self.running: list[Job] = []
        self.reserved_tokens = 0.0
        self.prefilled_tokens = 0
        self.repeated_prefill_tokens = 0
        self.seen_parts: set[str] = set()
        self.busy_s = 0.0
        self.sending_until = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the engine has no requests."""
        return not (self.waiting or self.prefilling or self.running)

    def submit(self, job: Job) -> None:
        """Adds a request to the waiting queue."""
        self.waiting.append(job)

    def send_parts(self, tokens: int, now: float) -> float:
        """Queues a transfer of cached tokens to another engine.

        Returns:
            The time at which the transfer ends.
        """
        settings = self.settings
        duration_s = settings.fetch_s + tokens * settings.fetch_token_s
        self.sending_until = max(self.sending_until, now) + duration_s
        return self.sending_until

    def receive_parts(self, parts: tuple[requests.Part, ...]) -> None:
        """Caches prompt parts that were fetched from another engine."""
        self.cache.add_parts(parts, self._get_free_tokens())

    def step(self, now: float) -> tuple[float, list[Job], list[Job]]:
        """Runs one step that starts at `now`.

        Returns:
            The duration of the step in seconds, the requests that produced
            their first event and the requests that completed.
        """
        self._admit()
        settings = self.settings
        duration_s = settings.step_s + settings.step_slot_s * len(self.running)
        started = []
        if self.prefilling:
            job = self.prefilling[0]
            chunk = min(job.unread_tokens, settings.chunk_tokens)
            preceding = job.request.prompt.tokens - job.unread_tokens
            job.unread_tokens -= chunk
            self.prefilled_tokens += chunk
            slowdown = 1 + (preceding + chunk / 2) / settings.double_tokens
            duration_s += chunk * slowdown / settings.prefill_tokens_per_s
            if job.unread_tokens == 0:
                started.append(self.prefilling.popleft())
        if self._is_noisy(now):
            duration_s *= settings.noise_factor
        duration_s /= settings.speed
        if settings.slow_from_s <= now < settings.slow_until_s:
            duration_s /= settings.slow_speed
        at = now + duration_s
        completed = self._decode(at)
        for job in started:
            job.first_event_at = job.last_event_at = at
            job.generated_tokens = 1
            job.events = 1
            self.running.append(job)
            self.cache.add_parts(
                job.request.prompt.parts, self._get_free_tokens()
            )
        self.busy_s += duration_s
        return duration_s, started, completed

    def _admit(self) -> None:
        while self.waiting:
            used_slots = len(self.running) + len(self.prefilling)
            job = self.waiting[0]
            is_full = (
                self.reserved_tokens + job.held > self.settings.cache_tokens
            )
            if used_slots >= self.settings.slots or (is_full and used_slots):
                return
            self.waiting.popleft()
            self.reserved_tokens += job.held
            prompt = job.request.prompt
            cached_tokens = self.cache.count_cached(prompt.parts)
            job.unread_tokens = max(prompt.tokens - cached_tokens, 1)
            for part in prompt.parts[:-1]:
                if part.name in self.seen_parts and cached_tokens <= 0:
                    self.repeated_prefill_tokens += part.tokens
                cached_tokens -= part.tokens
                self.seen_parts.add(part.name)
            for other in self.running:
                other.largest_other_tokens = max(
                    other.largest_other_tokens, job.unread_tokens
                )
            self.prefilling.append(job)

    def _is_noisy(self, now: float) -> bool:
        settings = self.settings
        if settings.noise_fraction <= 0:
            return False
        interval = int(now / settings.noise_interval_s)
        digest = hashlib.blake2b(f"{self.name} {interval}".encode()).digest()
        return digest[0] < settings.noise_fraction * 256

    def _decode(self, at: float) -> list[Job]:
        completed = []
        for job in self.running:
            job.generated_tokens += 1
            is_complete = job.generated_tokens >= job.output
            if (
                is_complete
                or job.generated_tokens % self.settings.event_tokens == 0
            ):
                gap_s = at - job.last_event_at
                job.longest_gap_s = max(job.longest_gap_s, gap_s)
                job.last_event_at = at
                job.events += 1
            if is_complete:
                completed.append(job)
        for job in completed:
            self.running.remove(job)
            self.reserved_tokens -= job.held
        return completed

    def _get_free_tokens(self) -> float:
        return max(self.settings.cache_tokens - self.reserved_tokens, 0.0)
