"""Carries requests between routers and engines."""

from bench import engines
from bench import hosts
from bench import network
from bench import recorder as recorder_lib
from bench import requests
from bench import simulation
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import ids


class Exchange:
    """Tracks all open requests and carries them between routers and engines.

    Attributes:
        requests: open requests by id.
        engines: engines by name; set by the emulator before it starts.
        recorder: measurements of the run; set by the emulator before it starts.
        misuses: number of dispatches and refusals of requests that were not
            queued.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        simulated_network: network.Network,
        hosts_by_name: dict[ids.InstanceId, hosts.Host],
    ):
        self.loop = loop
        self.network = simulated_network
        self.hosts = hosts_by_name
        self.engines: dict[ids.TargetId, engines.Engine] = {}
        self.recorder: recorder_lib.Recorder | None = None
        self.requests: dict[ids.RequestId, requests.Request] = {}
        self.misuses = 0

    def add(self, request: requests.Request) -> None:
        """Delivers a new request to its router."""
        self.requests[request.queued.name] = request
        self.recorder.record_arrival(request, self.loop.now)
        host = self.hosts[request.router]
        host.deliver(events.RequestArrived(request.queued))

    def drop_router(self, name: ids.InstanceId) -> None:
        """Ends all requests of a router that was killed."""
        lost = [r for r in self.requests.values() if r.router == name]
        for request in lost:
            self._drop_request(request)

    def make_hooks(self, target: catalogue_lib.Target) -> engines.Hooks:
        """Returns the callbacks for the engine of `target`."""

        def start(request: requests.Request) -> None:
            request.state = requests.RequestState.RUNNING
            self.recorder.record_start(request, self.loop.now)

        def stop(request: requests.Request) -> None:
            request.state = requests.RequestState.ENDED
            self.recorder.record_stop(request, self.loop.now)

        def progress(request: requests.Request, cost: float) -> None:
            event = events.RequestProgressed(request.queued.name, cost)
            self._send_to_router(target, request, event)

        def end(
            request: requests.Request, cost: float, run_end: events.RunEnd
        ) -> None:
            self.network.call(
                target.name,
                request.router,
                lambda: self._end(request, cost, run_end),
            )

        return engines.Hooks(start, stop, progress, end)

    def dispatch(self, effect: events.DispatchRequest) -> None:
        """Sends a queued request to the target that the router selected."""
        request = self.requests.get(effect.name)
        if request is None or request.state is not requests.RequestState.QUEUED:
            self.misuses += 1
            return
        request.state = requests.RequestState.SENT
        engine = self.engines[effect.target.name]

        def admit() -> None:
            if request.state is requests.RequestState.SENT:
                engine.admit(request)

        self.network.call(request.router, effect.target.name, admit)

    def refuse(self, effect: events.RefuseRequest) -> None:
        """Tells the caller that its request was refused and did not run."""
        request = self.requests.get(effect.name)
        if request is None or request.state is not requests.RequestState.QUEUED:
            self.misuses += 1
            return
        self.recorder.record_refusal(request, effect.reason.value)
        self.recorder.record_removal(request, self.loop.now)
        self._close(request, requests.RequestEnd.REFUSED, effect.retry_after_s)

    def _send_to_router(
        self,
        target: catalogue_lib.Target,
        request: requests.Request,
        event: events.Event,
    ) -> None:
        host = self.hosts[request.router]

        def deliver() -> None:
            if request.queued.name in self.requests:
                host.deliver(event)

        self.network.call(target.name, request.router, deliver)

    def _end(
        self, request: requests.Request, cost: float, run_end: events.RunEnd
    ) -> None:
        if request.queued.name not in self.requests:
            return
        host = self.hosts[request.router]
        event = events.RequestEnded(request.queued.name, cost, run_end)
        if run_end is events.RunEnd.UNREACHABLE:
            request.state = requests.RequestState.QUEUED
            host.deliver(event)
            return
        if request.state is requests.RequestState.SENT:
            self.recorder.record_removal(request, self.loop.now)
        is_whole = run_end is events.RunEnd.COMPLETED
        request_end = (
            requests.RequestEnd.ANSWERED
            if is_whole
            else requests.RequestEnd.FAILED
        )
        self._close(request, request_end, 0.0)
        host.deliver(event)

    def _drop_request(self, request: requests.Request) -> None:
        """Ends a request whose router was killed."""
        is_started = request.state in (
            requests.RequestState.RUNNING,
            requests.RequestState.ENDED,
        )
        for engine in self.engines.values():
            engine.cancel(request)
        if not is_started:
            self.recorder.record_removal(request, self.loop.now)
        self._close(request, requests.RequestEnd.ROUTER_LOST, 0.0)

    def _close(
        self,
        request: requests.Request,
        request_end: requests.RequestEnd,
        retry_after_s: float,
    ) -> None:
        request.state = requests.RequestState.ENDED
        del self.requests[request.queued.name]
        self.recorder.counts_by_end[request_end] += 1
        request.on_end(request_end, retry_after_s)
