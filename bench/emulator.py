"""Runs a node per router with simulated network, engines and platform."""

import collections
import dataclasses
import random

from bench import callers
from bench import engines
from bench import exchange
from bench import hosts
from bench import listing
from bench import network
from bench import policies
from bench import recorder
from bench import requests
from bench import scenarios
from bench import simulation
from bench import sizes
from bench import traffic
from lentilbeam_core import events
from lentilbeam_core import ids

LOAD_START_S = 1.0
MEASURE_START_S = 2.0
LIST_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.5
DEADLINE_S = 60.0
DRAIN_GRACE_S = 3.0
"""Time during which routers may still dispatch to a draining target."""

COST_FACTORS = (1.0, 0.7, 1.4, 0.8, 1.2)
"""Factors on the median cost, assigned to the workspaces in turn."""

START_WALL_US = 1_700_000_000_000_000
"""Wall clock time at virtual time 0, in microseconds since the Unix epoch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """Parameters of an experiment.

    Attributes:
        scenario: load and faults.
        size: dimensions of the fleet.
        policy: scheduling policy of the routers.
        seed: seed of all random number generators.
        seconds: duration in virtual seconds.
    """

    scenario: scenarios.Scenario
    size: sizes.FleetSize
    policy: policies.Policy
    seed: int
    seconds: float


class Emulator:
    """Simulation of one experiment in virtual time.

    Attributes:
        loop: the event loop in virtual time.
        routers: data centre of each router, by name.
        request_count: number of requests sent so far; makes their ids unique.
        recorded_events: (time, router, event) of each recorded event.
    """

    def __init__(self, experiment: Experiment):
        self.experiment = experiment
        self.loop = simulation.Simulation()
        self.routers = sizes.get_routers()
        scenario = experiment.scenario
        self.catalogue = sizes.make_catalogue(
            experiment.size, scenario.costs.max_cost, scenario.concurrency
        )
        self.pool = self.catalogue.pools[sizes.POOL]
        self.request_count = 0
        self.recorded_events: list[tuple[float, str, events.RecordEvent]] = []
        self.meter = traffic.TrafficMeter(MEASURE_START_S)
        self.network = self._make_network()
        self.listing = listing.Listing(
            self.loop, self.routers, scenario.listing_lag_s
        )
        fleet = policies.FleetConfig(self.catalogue, self.pool, self.routers)
        self.make_node = experiment.policy.make_factory(fleet)
        self.hosts = {
            name: hosts.Host(self.loop, name, self.apply_effect)
            for name in self.routers
        }
        self.exchange = exchange.Exchange(self.loop, self.network, self.hosts)
        self.engines = self._make_engines()
        self.recorder = self._make_recorder()
        self.exchange.engines = self.engines
        self.exchange.recorder = self.recorder

    def run(self) -> None:
        """Runs the experiment."""
        offsets = random.Random(f"{self.experiment.seed}/offsets")
        for name in self.routers:
            self.start_router(name)
            self.loop.call_every(
                LIST_INTERVAL_S,
                lambda name=name: self._deliver_instance_list(name),
                offsets.uniform(0.0, 0.1),
            )
        for engine in self.engines.values():
            self.loop.call_every(
                REPORT_INTERVAL_S,
                lambda engine=engine: self._report_load(engine),
                offsets.uniform(0.1, REPORT_INTERVAL_S),
            )
        self._start_callers()
        self.loop.run(self.experiment.seconds)
        self.recorder.finish(self.loop.now)

    def start_router(self, name: ids.InstanceId) -> None:
        """Starts a router process with empty state."""
        now = self.loop.now
        incarnation = ids.Incarnation(START_WALL_US + round(now * 1e6))
        host = self.hosts[name]
        host.start(self.make_node(name, incarnation, now))
        host.deliver(
            events.CatalogueChanged(self.catalogue, offset=ids.Offset(1))
        )
        self._deliver_instance_list(name)

    def kill_router(self, name: ids.InstanceId) -> None:
        """Kills a router process; its requests are lost."""
        self.hosts[name].kill()
        self.exchange.drop_router(name)

    def find_scheduler(self) -> ids.InstanceId:
        """Returns the router that sent the last grant, or the first router."""
        return self.network.last_granting_router or next(iter(self.routers))

    def send_request(
        self,
        workspace: ids.WorkspaceId,
        router: ids.InstanceId,
        cost: float,
        hint: float,
        on_end: requests.EndCallback,
    ) -> None:
        """Sends a request to a router, or to the next one that is alive.

        See `callers.Sender` for the arguments.
        """
        self.request_count += 1
        now = self.loop.now
        is_ideal = self.experiment.policy.is_ideal
        queued = events.QueuedRequest(
            name=ids.RequestId(
                f"00000000-0000-7000-8000-{self.request_count:012x}"
            ),
            workspace=workspace,
            pool=sizes.POOL,
            call=sizes.CALL,
            cost_hint=cost if is_ideal else hint,
            deadline=now + DEADLINE_S,
        )
        home = self._find_next_alive(router)
        self.exchange.add(requests.Request(queued, cost, home, now, on_end))

    def apply_effect(
        self, sender: ids.InstanceId, effect: events.Effect
    ) -> None:
        """Executes an effect that a node has returned."""
        match effect:
            case events.SendMessage():
                self._send(sender, effect)
            case events.DispatchRequest():
                self.exchange.dispatch(effect)
            case events.RefuseRequest():
                self.exchange.refuse(effect)
            case events.RecordEvent():
                self.recorded_events.append((self.loop.now, sender, effect))

    def _make_network(self) -> network.Network:
        size = self.experiment.size
        settings = network.Settings(
            cross_centre_delay_s=size.cross_centre_delay_s
        )
        if self.experiment.policy.is_ideal:
            settings = network.Settings(
                cross_centre_delay_s=0.0, local_delay_s=0.0, loss=0.0
            )
        data_centres: dict[str, ids.DataCentreId] = {**self.routers}
        for target in self.pool.targets:
            data_centres[target.name] = target.data_centre
        seed = f"{self.experiment.seed}/network"
        return network.Network(
            self.loop, settings, seed, data_centres, self.meter
        )

    def _make_engines(self) -> dict[ids.TargetId, engines.Engine]:
        return {
            target.name: engines.Engine(
                self.loop,
                target,
                sizes.TOKENS_PER_S,
                self.exchange.make_hooks(target),
            )
            for target in self.pool.targets
        }

    def _make_recorder(self) -> recorder.Recorder:
        scenario = self.experiment.scenario
        limits = {
            name: workspace.limits.concurrency
            for name, workspace in self.catalogue.workspaces.items()
            if workspace.limits.concurrency is not None
        }
        settings = recorder.Settings(
            weights=sizes.get_weights(),
            concurrency=limits,
            max_cost=scenario.costs.max_cost,
            rate=sizes.TOKENS_PER_S,
            start=MEASURE_START_S,
        )
        return recorder.Recorder(settings, [*self.engines.values()])

    def _start_callers(self) -> None:
        scenario = self.experiment.scenario
        names = [*sizes.get_weights()]
        sources = scenario.make_load(self.experiment.size)
        totals = collections.Counter(s.workspace for s in sources)
        assigned: collections.Counter[ids.WorkspaceId] = collections.Counter()
        for source in sources:
            name = source.workspace
            settings = callers.Settings(
                costs=scenario.costs,
                scale=COST_FACTORS[names.index(name) % len(COST_FACTORS)],
                phase=assigned[name] / totals[name],
                start=LOAD_START_S,
                seed=str(self.experiment.seed),
            )
            assigned[name] += 1
            callers.Callers(
                self.loop, source, settings, self.send_request
            ).start()

    def _find_next_alive(self, router: ids.InstanceId) -> ids.InstanceId:
        names = collections.deque(self.routers)
        names.rotate(-names.index(router))
        return next(name for name in names if self.hosts[name].is_alive)

    def _deliver_instance_list(self, name: ids.InstanceId) -> None:
        instances = self.listing.read()
        self.hosts[name].deliver(events.InstanceListRead(instances))

    def _report_load(self, engine: engines.Engine) -> None:
        report = engine.report()

        def deliver() -> None:
            for host in self.hosts.values():
                host.deliver(report)

        self.loop.call_later(REPORT_DELAY_S, deliver)

    def _send(self, sender: ids.InstanceId, effect: events.SendMessage) -> None:
        host = self.hosts[effect.receiver]
        event = events.MessageReceived(sender, effect.message)
        self.network.send(
            sender,
            effect.receiver,
            effect.message,
            lambda: host.deliver(event),
        )
