"""A few nodes, a lossy mailbox and plain targets in virtual time."""

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
PROGRESS_S = 0.2
LOAD_LAG_S = 0.25
SECOND_COST = 1000.0
"""Cost units that one slot serves in a second."""


@dataclasses.dataclass(frozen=True)
class Shape:
    """Sizes and faults of a fleet."""

    routers: int = 3
    targets: int = 3
    slots: int = 4
    weights: dict = dataclasses.field(
        default_factory=lambda: {"a": 1.0, "b": 1.0}
    )
    limits: dict = dataclasses.field(default_factory=dict)
    delay_s: float = 0.004
    jitter_s: float = 0.002
    loss: float = 0.01
    repeat: float = 0.01
    seed: int = 1


@dataclasses.dataclass
class Job:
    """A request on its way."""

    request: events.QueuedRequest
    router: str
    cost: float
    sent_at: float
    target: str = ""
    started: float = math.inf


class Fleet:
    """Runs nodes in virtual time; all state is open to checks."""

    def __init__(self, shape: Shape):
        self.shape = shape
        self.random = random.Random(shape.seed)
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()
        self.names = [f"r{i}" for i in range(shape.routers)]
        self.catalogue = make_catalogue(shape)
        self.nodes = {}
        self.down = set()
        self.paused = {}
        self.cuts = set()
        self.jobs = {}
        self.running = {f"t{i}": [] for i in range(shape.targets)}
        self.waiting = {f"t{i}": [] for i in range(shape.targets)}
        self.broken = set()
        self.unreachable = set()
        self.ended_cost = dict.fromkeys(shape.weights, 0.0)
        self.refused = []
        self.dispatched = []
        self.sent_bytes = 0
        self.messages = []
        self.records = []
        self.on_end = None
        self.draining = set()
        self.wake_planned = {}
        for name in self.names:
            self.start(name)
        self.list_instances(self.names)
        self.at(LOAD_INTERVAL_S, self._report_load)

    def start(self, name):
        """Starts a router, empty."""
        settings = node.Settings(
            ids.InstanceId(name), ids.DataCentreId(f"dc{name[-1]}")
        )
        incarnation = ids.Incarnation(int(self.now * 1e6) + 1)
        self.nodes[name] = node.Node(settings, incarnation)
        self.down.discard(name)
        self.tell(name, events.CatalogueChanged(self.catalogue, ids.Offset(1)))

    def list_instances(self, names):
        """Shows all routers the platform's list."""
        rows = tuple(
            events.ListedInstance(
                ids.InstanceId(n),
                ids.DataCentreId(f"dc{n[-1]}"),
                events.ListedState.LIVE,
            )
            for n in names
        )
        for name in self.names:
            self.tell(name, events.InstanceListRead(rows))

    def tell(self, name, event):
        """Hands an event to a node and carries out the effects."""
        if name in self.down:
            return
        if name in self.paused:
            self.paused[name].append(event)
            return
        effects = self.nodes[name].handle(event, self.now)
        for effect in effects:
            self._carry_out(name, effect)
        due = self.nodes[name].next_wakeup(self.now)
        if due is not None and due < self.wake_planned.get(name, math.inf):
            self.wake_planned[name] = due
            self.at(due, self._wake, name, due)

    def at(self, time, action, *arguments):
        """Plans an action."""
        heapq.heappush(self.heap, (time, next(self.order), action, arguments))

    def run(self, until):
        """Lets virtual time pass."""
        while self.heap and self.heap[0][0] <= until:
            time, _, action, arguments = heapq.heappop(self.heap)
            self.now = max(self.now, time)
            action(*arguments)
        self.now = until

    def submit(
        self, router, workspace, cost, hint=None, patience_s=1e6, prefix=None
    ):
        """Sends a request to a router."""
        name = ids.RequestId(f"q{next(self.order)}")
        request = events.QueuedRequest(
            name,
            ids.WorkspaceId(workspace),
            POOL,
            "ask",
            hint,
            self.now + patience_s,
            prefix,
        )
        self.jobs[name] = Job(request, router, cost, self.now)
        self.tell(router, events.RequestArrived(request))
        return name

    def kill(self, name):
        """Ends a router and what it runs."""
        self.down.add(name)
        for queue in [*self.running.values(), *self.waiting.values()]:
            queue[:] = [j for j in queue if j.router != name]
        for target in self.running:
            self._fill(target)

    def pause(self, name, until):
        """Freezes a router; its events wait."""
        self.paused[name] = []
        self.at(until, self._resume, name)

    def cut(self, side, other):
        """Parts two sides of the network."""
        self.cuts = {(a, b) for a in side for b in other}
        self.cuts |= {(b, a) for a, b in self.cuts}

    def heal(self):
        """Joins the network again."""
        self.cuts = set()

    def served(self, workspace):
        """Returns the service truly received so far, progressively."""
        running = itertools.chain(*self.running.values())
        return self.ended_cost[workspace] + sum(
            (self.now - job.started) * SECOND_COST
            for job in running
            if job.request.workspace == workspace
        )

    def gap(self):
        """Returns the spread of received service by weight."""
        shares = [
            self.served(w) / weight for w, weight in self.shape.weights.items()
        ]
        return max(shares) - min(shares)

    def busy(self):
        """Returns the slots in use."""
        return sum(len(jobs) for jobs in self.running.values())

    def schedulers(self):
        """Returns the routers that hold the role now."""
        return [
            name
            for name in self.names
            if name not in self.down
            and self.nodes[name].schedulers[POOL].is_active
        ]

    def _report_load(self):
        for target, running in self.running.items():
            report = events.TargetReported(
                ids.TargetId(target),
                len(running),
                len(self.waiting[target]),
                target in self.draining,
            )
            for name in self.names:
                self.at(self.now + LOAD_LAG_S, self.tell, name, report)
        self.at(self.now + LOAD_INTERVAL_S, self._report_load)

    def _resume(self, name):
        backlog = self.paused.pop(name)
        for event in [events.Ticked(), *backlog]:
            self.tell(name, event)

    def _wake(self, name, due):
        if self.wake_planned.get(name) == due:
            del self.wake_planned[name]
            self.tell(name, events.Ticked())

    def _carry_out(self, name, effect):
        match effect:
            case events.SendMessage():
                self._post(name, effect.receiver, effect.message)
            case events.DispatchRequest():
                job = self.jobs[effect.name]
                job.target = effect.target.name
                self.dispatched.append(job)
                self._reach(job)
            case events.RefuseRequest():
                job = self.jobs.pop(effect.name)
                self.refused.append((self.now, job, effect))
            case events.RecordEvent():
                self.records.append((self.now, name, effect))

    def _post(self, sender, receiver, message):
        self.messages.append((self.now, sender, receiver, message))
        copies = 1 + (self.random.random() < self.shape.repeat)
        for _ in range(copies):
            if self.random.random() < self.shape.loss:
                continue
            delay = self.shape.delay_s
            delay += self.random.random() * self.shape.jitter_s
            received = events.MessageReceived(sender, message)
            self.at(self.now + delay, self._deliver, receiver, received)

    def _deliver(self, receiver, received):
        if (received.sender, receiver) not in self.cuts:
            self.tell(receiver, received)

    def _reach(self, job):
        if job.target in self.broken:
            self.at(self.now + 0.002, self._finish, job, "failed")
            return
        if job.target in self.unreachable:
            self.at(self.now + 0.002, self._finish, job, "unreachable")
            return
        self.waiting[job.target].append(job)
        self._fill(job.target)

    def _fill(self, target):
        waiting, running = self.waiting[target], self.running[target]
        while waiting and len(running) < self.shape.slots:
            job = waiting.pop(0)
            job.started = self.now
            running.append(job)
            self.at(self.now + PROGRESS_S, self._progress, job)
            self.at(
                self.now + job.cost / SECOND_COST,
                self._finish,
                job,
                "completed",
            )

    def _progress(self, job):
        if job in self.running[job.target]:
            cost = (self.now - job.started) * SECOND_COST
            name = job.request.name
            self.tell(job.router, events.RequestProgressed(name, cost))
            self.at(self.now + PROGRESS_S, self._progress, job)

    def _finish(self, job, end):
        running = self.running[job.target]
        if end == "completed":
            if job not in running:
                return
            running.remove(job)
            self.ended_cost[job.request.workspace] += job.cost
        if end != "unreachable":
            self.jobs.pop(job.request.name, None)
        cost = job.cost if end == "completed" else 0.0
        ended = events.RequestEnded(job.request.name, cost, events.RunEnd(end))
        self._fill(job.target)
        self.tell(job.router, ended)
        if self.on_end and end != "unreachable":
            self.on_end(job)


def make_catalogue(shape):
    classes = {
        w: catalogue.WorkspaceClass(w, "owner", weight)
        for w, weight in shape.weights.items()
    }
    workspaces = {
        w: catalogue.Workspace(
            w, "owner", w, shape.limits.get(w, catalogue.Limits())
        )
        for w in shape.weights
    }
    targets = tuple(
        catalogue.Target(f"t{i}", "", f"dc{i}", shape.slots)
        for i in range(shape.targets)
    )
    pool = catalogue.Pool(POOL, "owner", catalogue.ServiceKind.MODEL, targets)
    return catalogue.Catalogue(classes, workspaces, {POOL: pool})


@dataclasses.dataclass
class Observation:
    """What a run under saturation showed.

    Attributes:
        gaps: time and gap, in units of the largest request.
        busy: time and share of the slots in use.
        refused: workspaces of refused requests.
        fleet: the fleet at the end.
    """

    gaps: list
    busy: list
    refused: list
    fleet: Fleet

    def largest_gap(self, start=0.0, end=math.inf):
        """Returns the largest gap in a span of time."""
        return max(gap for at, gap in self.gaps if start <= at <= end)

    def utilisation(self, start=0.0, end=math.inf):
        """Returns the mean share of the slots in use in a span of time."""
        shares = [share for at, share in self.busy if start <= at <= end]
        return sum(shares) / len(shares)


LARGEST = 4000.0
SAMPLE_S = 0.02


def draw_heavy_tailed(source):
    """Draws a cost with a heavy tail."""
    return min(max(source.lognormvariate(6.5, 0.9), 50.0), LARGEST)


def draw_of_two_kinds(source):
    """Draws a short cost or, seldom, the largest."""
    if source.random() < 0.15:
        return LARGEST
    return source.uniform(50.0, 300.0)


@dataclasses.dataclass(frozen=True)
class Load:
    """Closed-loop load that keeps every workspace backlogged.

    Attributes:
        depth: requests of each workspace at each of its routers.
        homes: routers of each workspace; all routers if not listed.
        hint_error: hints are wrong by up to this factor, either way.
        draw: draws a cost from a random source.
    """

    depth: int = 4
    homes: dict = dataclasses.field(default_factory=dict)
    hint_error: float = 4.0
    draw: collections.abc.Callable = draw_heavy_tailed


def saturate(shape, load, until, plan=lambda fleet: None):
    """Runs a fleet under `load`; `plan` schedules faults from second 2 on."""
    fleet = Fleet(shape)
    choice = random.Random(shape.seed + 1)

    def send(router, workspace):
        cost = load.draw(choice)
        error = load.hint_error ** choice.uniform(-1, 1)
        fleet.submit(router, workspace, cost, min(cost * error, LARGEST))

    def homes(workspace):
        listed = load.homes.get(workspace, fleet.names)
        return [name for name in listed if name not in fleet.down]

    def follow_up(job):
        workspace = job.request.workspace
        alive = homes(workspace)
        if alive:
            same = job.router in alive
            send(job.router if same else choice.choice(alive), workspace)

    fleet.run(1.0)
    for workspace in shape.weights:
        for name in homes(workspace) * load.depth:
            send(name, workspace)
    fleet.on_end = follow_up
    fleet.run(2.0)
    plan(fleet)
    return observe(fleet, until)


def observe(fleet, until):
    """Samples a fleet until a time."""
    weights = fleet.shape.weights
    start = {w: fleet.served(w) for w in weights}
    total = fleet.shape.targets * fleet.shape.slots
    gaps, busy = [], []
    while fleet.now < until:
        fleet.run(fleet.now + SAMPLE_S)
        gained = [(fleet.served(w) - start[w]) / weights[w] for w in weights]
        gaps.append((fleet.now, (max(gained) - min(gained)) / LARGEST))
        busy.append((fleet.now, fleet.busy() / total))
    refused = [job.request.workspace for _, job, _ in fleet.refused]
    return Observation(gaps, busy, refused, fleet)
