"""A simulated fleet: router nodes, an unreliable network and targets.

Everything runs in one thread in simulated time: a queue of timers replaces
sockets and clocks.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from lentilbeam_core import catalogue
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import node

POOL = ids.PoolId("assistants")
LOAD_INTERVAL_S = 0.5
PROGRESS_INTERVAL_S = 0.2
LOAD_REPORT_DELAY_S = 0.25
COST_PER_SLOT_S = 1000.0
"""Cost units that one slot serves in a second."""


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """Size, catalogue and network faults of a simulated fleet.

    Attributes:
        routers: number of routers, named r0, r1, ...
        targets: number of targets, named t0, t1, ...
        slots: slots of each target.
        weights: weight of each workspace by its name.
        limits: `catalogue.Limits` by workspace; a workspace that is missing
            here has the default limits.
        delay_s: least delay of a message between two routers.
        jitter_s: upper bound of the random delay added to `delay_s`.
        loss_probability: probability that a copy of a message is lost.
        duplicate_probability: probability that a message is sent twice.
        seed: seed of the random network faults and of the load.
    """

    routers: int = 3
    targets: int = 3
    slots: int = 4
    weights: dict = dataclasses.field(
        default_factory=lambda: {"a": 1.0, "b": 1.0}
    )
    limits: dict = dataclasses.field(default_factory=dict)
    delay_s: float = 0.004
    jitter_s: float = 0.002
    loss_probability: float = 0.01
    duplicate_probability: float = 0.01
    seed: int = 1


@dataclasses.dataclass
class Job:
    """A submitted request and its progress.

    Attributes:
        request: the request as its router queues it.
        router: router that the request was submitted to.
        cost: true cost in cost units.
        sent_at: time of the submission.
        target: target it was last dispatched to; empty before.
        started_at: start of its run in a slot; infinite before.
    """

    request: events.QueuedRequest
    router: str
    cost: float
    sent_at: float
    target: str = ""
    started_at: float = math.inf


class Fleet:
    """Runs router nodes and targets in simulated time.

    Times are seconds since the start of the simulation.

    Attributes:
        config: sizes and network faults.
        rng: random number generator of the network faults.
        now: current simulated time.
        timers: heap of (time, sequence number, action, arguments).
        sequence: source of sequence numbers for timers and request ids.
        router_names: names of all routers, including killed ones.
        catalogue: the catalogue in force at all routers.
        nodes: node by router name.
        killed: routers that have been killed and not started again.
        held_events: by paused router, the events to be handled on resumption.
        blocked_links: (sender, receiver) pairs whose messages are dropped.
        jobs: by request id, jobs that have neither ended nor been refused.
        running: by target, jobs that occupy a slot.
        waiting: by target, dispatched jobs that wait for a slot.
        failing_targets: targets at which every request fails.
        unreachable_targets: targets that no request reaches.
        completed_cost: by workspace, the cost of its completed requests.
        refused: (time, job, effect) of each refusal.
        dispatched: one job for each dispatch, in order.
        sent_bytes: unused; always 0.
        messages: (time, sender, receiver, message) of each message sent.
        recorded_events: (time, router, effect) of each `RecordEvent` effect.
        on_run_ended: called with each job that completed or failed; None for
            no call.
        draining_targets: targets that report that they are draining.
        wakeup_at: by router, the time of its pending wakeup.
    """

    def __init__(self, config: FleetConfig):
        self.config = config
        self.rng = random.Random(config.seed)
        self.now = 0.0
        self.timers = []
        self.sequence = itertools.count()
        self.router_names = [f"r{i}" for i in range(config.routers)]
        self.catalogue = make_catalogue(config)
        self.nodes = {}
        self.killed = set()
        self.held_events = {}
        self.blocked_links = set()
        self.jobs = {}
        self.running = {f"t{i}": [] for i in range(config.targets)}
        self.waiting = {f"t{i}": [] for i in range(config.targets)}
        self.failing_targets = set()
        self.unreachable_targets = set()
        self.completed_cost = dict.fromkeys(config.weights, 0.0)
        self.refused = []
        self.dispatched = []
        self.sent_bytes = 0
        self.messages = []
        self.recorded_events = []
        self.on_run_ended = None
        self.draining_targets = set()
        self.wakeup_at = {}
        for name in self.router_names:
            self.start_router(name)
        self.publish_instance_list(self.router_names)
        self.schedule(LOAD_INTERVAL_S, self._report_load)

    def start_router(self, name):
        """Starts a router with a new incarnation and empty state."""
        settings = node.Settings(
            ids.InstanceId(name), ids.DataCentreId(f"dc{name[-1]}")
        )
        incarnation = ids.Incarnation(int(self.now * 1e6) + 1)
        self.nodes[name] = node.Node(settings, incarnation)
        self.killed.discard(name)
        self.send_event(
            name, events.CatalogueChanged(self.catalogue, ids.Offset(1))
        )

    def publish_instance_list(self, names):
        """Sends every router an instance list with the given live routers."""
        instances = tuple(
            events.ListedInstance(
                ids.InstanceId(n),
                ids.DataCentreId(f"dc{n[-1]}"),
                events.ListedState.LIVE,
            )
            for n in names
        )
        for name in self.router_names:
            self.send_event(name, events.InstanceListRead(instances))

    def send_event(self, name, event):
        """Has a router handle an event and applies the resulting effects.

        A killed router ignores the event; a paused one handles it later.
        """
        if name in self.killed:
            return
        if name in self.held_events:
            self.held_events[name].append(event)
            return
        effects = self.nodes[name].handle(event, self.now)
        for effect in effects:
            self._apply_effect(name, effect)
        due = self.nodes[name].next_wakeup(self.now)
        if due is not None and due < self.wakeup_at.get(name, math.inf):
            self.wakeup_at[name] = due
            self.schedule(due, self._wake_up, name, due)

    def schedule(self, time, action, *arguments):
        """Has `action` called with the arguments at the given time."""
        heapq.heappush(
            self.timers, (time, next(self.sequence), action, arguments)
        )

    def run_until(self, end):
        """Runs all timers that are due until `end` and sets the time to it."""
        while self.timers and self.timers[0][0] <= end:
            time, _, action, arguments = heapq.heappop(self.timers)
            self.now = max(self.now, time)
            action(*arguments)
        self.now = end

    def submit(
        self, router, workspace, cost, hint=None, deadline_s=1e6, prefix=None
    ):
        """Submits a request to a router.

        Args:
            router: name of the router.
            workspace: workspace of the request.
            cost: true cost in cost units, which the router is not told.
            hint: cost hint for the router; None for no hint.
            deadline_s: seconds from now until the request's deadline.
            prefix: prompt prefix of the request; None for no prefix.

        Returns:
            The request's id.
        """
        name = ids.RequestId(f"q{next(self.sequence)}")
        request = events.QueuedRequest(
            name,
            ids.WorkspaceId(workspace),
            POOL,
            "ask",
            hint,
            self.now + deadline_s,
            prefix,
        )
        self.jobs[name] = Job(request, router, cost, self.now)
        self.send_event(router, events.RequestArrived(request))
        return name

    def kill_router(self, name):
        """Kills a router; targets drop the requests that it sent them."""
        self.killed.add(name)
        for queue in [*self.running.values(), *self.waiting.values()]:
            queue[:] = [j for j in queue if j.router != name]
        for target in self.running:
            self._start_waiting(target)

    def pause_router(self, name, until):
        """Holds back a router's events until the given time."""
        self.held_events[name] = []
        self.schedule(until, self._resume_router, name)

    def partition(self, side, other):
        """Drops all messages between two groups of routers."""
        self.blocked_links = {(a, b) for a in side for b in other}
        self.blocked_links |= {(b, a) for a, b in self.blocked_links}

    def heal_partition(self):
        """Lets messages pass between all routers again."""
        self.blocked_links = set()

    def get_served_cost(self, workspace):
        """Returns the workspace's service so far, in cost units.

        Running requests count with the service received until now.
        """
        running = itertools.chain(*self.running.values())
        return self.completed_cost[workspace] + sum(
            (self.now - job.started_at) * COST_PER_SLOT_S
            for job in running
            if job.request.workspace == workspace
        )

    def get_gap(self):
        """Returns the largest difference in service divided by weight."""
        weighted_services = [
            self.get_served_cost(w) / weight
            for w, weight in self.config.weights.items()
        ]
        return max(weighted_services) - min(weighted_services)

    def count_busy_slots(self):
        """Returns the number of occupied slots of all targets."""
        return sum(len(jobs) for jobs in self.running.values())

    def list_schedulers(self):
        """Returns the names of the routers that act as scheduler now."""
        return [
            name
            for name in self.router_names
            if name not in self.killed
            and self.nodes[name].schedulers[POOL].is_active
        ]

    def _report_load(self):
        for target, running in self.running.items():
            report = events.TargetReported(
                ids.TargetId(target),
                len(running),
                len(self.waiting[target]),
                target in self.draining_targets,
            )
            for name in self.router_names:
                self.schedule(
                    self.now + LOAD_REPORT_DELAY_S,
                    self.send_event,
                    name,
                    report,
                )
        self.schedule(self.now + LOAD_INTERVAL_S, self._report_load)

    def _resume_router(self, name):
        backlog = self.held_events.pop(name)
        for event in [events.Ticked(), *backlog]:
            self.send_event(name, event)

    def _wake_up(self, name, due):
        if self.wakeup_at.get(name) == due:
            del self.wakeup_at[name]
            self.send_event(name, events.Ticked())

    def _apply_effect(self, name, effect):
        match effect:
            case events.SendMessage():
                self._send_message(name, effect.receiver, effect.message)
            case events.DispatchRequest():
                job = self.jobs[effect.name]
                job.target = effect.target.name
                self.dispatched.append(job)
                self._send_to_target(job)
            case events.RefuseRequest():
                job = self.jobs.pop(effect.name)
                self.refused.append((self.now, job, effect))
            case events.RecordEvent():
                self.recorded_events.append((self.now, name, effect))

    def _send_message(self, sender, receiver, message):
        self.messages.append((self.now, sender, receiver, message))
        copies = 1 + (self.rng.random() < self.config.duplicate_probability)
        for _ in range(copies):
            if self.rng.random() < self.config.loss_probability:
                continue
            delay = self.config.delay_s
            delay += self.rng.random() * self.config.jitter_s
            received = events.MessageReceived(sender, message)
            self.schedule(
                self.now + delay, self._deliver_message, receiver, received
            )

    def _deliver_message(self, receiver, received):
        if (received.sender, receiver) not in self.blocked_links:
            self.send_event(receiver, received)

    def _send_to_target(self, job):
        if job.target in self.failing_targets:
            self.schedule(self.now + 0.002, self._end_run, job, "failed")
            return
        if job.target in self.unreachable_targets:
            self.schedule(self.now + 0.002, self._end_run, job, "unreachable")
            return
        self.waiting[job.target].append(job)
        self._start_waiting(job.target)

    def _start_waiting(self, target):
        waiting, running = self.waiting[target], self.running[target]
        while waiting and len(running) < self.config.slots:
            job = waiting.pop(0)
            job.started_at = self.now
            running.append(job)
            self.schedule(
                self.now + PROGRESS_INTERVAL_S, self._report_progress, job
            )
            self.schedule(
                self.now + job.cost / COST_PER_SLOT_S,
                self._end_run,
                job,
                "completed",
            )

    def _report_progress(self, job):
        if job in self.running[job.target]:
            cost = (self.now - job.started_at) * COST_PER_SLOT_S
            name = job.request.name
            self.send_event(job.router, events.RequestProgressed(name, cost))
            self.schedule(
                self.now + PROGRESS_INTERVAL_S, self._report_progress, job
            )

    def _end_run(self, job, end):
        running = self.running[job.target]
        if end == "completed":
            if job not in running:
                return
            running.remove(job)
            self.completed_cost[job.request.workspace] += job.cost
        if end != "unreachable":
            self.jobs.pop(job.request.name, None)
        cost = job.cost if end == "completed" else 0.0
        ended = events.RequestEnded(job.request.name, cost, events.RunEnd(end))
        self._start_waiting(job.target)
        self.send_event(job.router, ended)
        if self.on_run_ended and end != "unreachable":
            self.on_run_ended(job)


def make_catalogue(config):
    """Returns a catalogue with one pool, and a class for each workspace."""
    classes = {
        w: catalogue.WorkspaceClass(w, "owner", weight)
        for w, weight in config.weights.items()
    }
    workspaces = {
        w: catalogue.Workspace(
            w, "owner", w, config.limits.get(w, catalogue.Limits())
        )
        for w in config.weights
    }
    targets = tuple(
        catalogue.Target(f"t{i}", "", f"dc{i}", config.slots)
        for i in range(config.targets)
    )
    pool = catalogue.Pool(POOL, "owner", catalogue.ServiceKind.MODEL, targets)
    return catalogue.Catalogue(classes, workspaces, {POOL: pool})


@dataclasses.dataclass
class Observation:
    """Samples taken while a fleet ran.

    Attributes:
        gaps: (time, gap) samples. The gap is the largest difference between
            two workspaces' service since the start of sampling, divided by
            weight, in units of `MAX_COST`.
        busy_fractions: (time, fraction of all slots that are occupied) samples.
        refused: workspace of each refused request.
        fleet: the fleet at the end.
    """

    gaps: list
    busy_fractions: list
    refused: list
    fleet: Fleet

    def largest_gap(self, start=0.0, end=math.inf):
        """Returns the largest gap between the times `start` and `end`."""
        return max(gap for at, gap in self.gaps if start <= at <= end)

    def utilisation(self, start=0.0, end=math.inf):
        """Returns the mean fraction of occupied slots from `start` to `end`."""
        fractions = [
            fraction
            for at, fraction in self.busy_fractions
            if start <= at <= end
        ]
        return sum(fractions) / len(fractions)


MAX_COST = 4000.0
SAMPLE_INTERVAL_S = 0.02


def draw_heavy_tailed_cost(rng):
    """Draws a cost from a log-normal distribution, at most `MAX_COST`."""
    return min(max(rng.lognormvariate(6.5, 0.9), 50.0), MAX_COST)


def draw_bimodal_cost(rng):
    """Draws `MAX_COST` with probability 0.15, else a cost of 50 to 300."""
    if rng.random() < 0.15:
        return MAX_COST
    return rng.uniform(50.0, 300.0)


@dataclasses.dataclass(frozen=True)
class Load:
    """Closed-loop load that keeps every workspace backlogged.

    Attributes:
        depth: unfinished requests of each workspace at each of its routers.
        home_routers: names of the routers that a workspace uses, by
            workspace; a workspace that is missing here uses all routers.
        hint_error: a cost hint is the cost times or divided by up to this
            factor.
        draw_cost: draws a cost from a random number generator.
    """

    depth: int = 4
    home_routers: dict = dataclasses.field(default_factory=dict)
    hint_error: float = 4.0
    draw_cost: collections.abc.Callable = draw_heavy_tailed_cost


def run_saturated(config, load, until, schedule_faults=lambda fleet: None):
    """Runs a new fleet under `load` and samples it.

    Args:
        config: a `FleetConfig`.
        load: a `Load`, which starts after one second.
        until: end of the run in simulated seconds.
        schedule_faults: called with the fleet at second 2, when sampling
            starts.

    Returns:
        An `Observation` of the time from second 2 to `until`.
    """
    fleet = Fleet(config)
    rng = random.Random(config.seed + 1)

    def submit(router, workspace):
        cost = load.draw_cost(rng)
        error = load.hint_error ** rng.uniform(-1, 1)
        fleet.submit(router, workspace, cost, min(cost * error, MAX_COST))

    def list_alive_routers(workspace):
        listed = load.home_routers.get(workspace, fleet.router_names)
        return [name for name in listed if name not in fleet.killed]

    def submit_next(job):
        workspace = job.request.workspace
        alive = list_alive_routers(workspace)
        if alive:
            is_alive = job.router in alive
            submit(job.router if is_alive else rng.choice(alive), workspace)

    fleet.run_until(1.0)
    for workspace in config.weights:
        for name in list_alive_routers(workspace) * load.depth:
            submit(name, workspace)
    fleet.on_run_ended = submit_next
    fleet.run_until(2.0)
    schedule_faults(fleet)
    return observe(fleet, until)


def observe(fleet, until):
    """Runs a fleet until a time and returns samples as an `Observation`."""
    weights = fleet.config.weights
    start = {w: fleet.get_served_cost(w) for w in weights}
    total = fleet.config.targets * fleet.config.slots
    gaps, busy_fractions = [], []
    while fleet.now < until:
        fleet.run_until(fleet.now + SAMPLE_INTERVAL_S)
        gained = [
            (fleet.get_served_cost(w) - start[w]) / weights[w] for w in weights
        ]
        gaps.append((fleet.now, (max(gained) - min(gained)) / MAX_COST))
        busy_fractions.append((fleet.now, fleet.count_busy_slots() / total))
    refused = [job.request.workspace for _, job, _ in fleet.refused]
    return Observation(gaps, busy_fractions, refused, fleet)
