"""HTTP handlers of the callers' API."""

from collections.abc import Callable
import random
from typing import Annotated

import expression
import litestar
from litestar import params
from litestar.openapi import datastructures

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import outcome
from lentilbeam_router import answer_store
from lentilbeam_router import api_types
from lentilbeam_router import attach as attach_lib
from lentilbeam_router import caller_protocol
from lentilbeam_router import fleet
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import pipeline as pipeline_lib
from lentilbeam_router import problems
from lentilbeam_router import requests
from lentilbeam_router import responses
from lentilbeam_router import settings as settings_lib

NOT_READY_RETRY_S = 1.0
"""`retry_after_s` of refusals while the router starts up."""

PROBLEM_SPEC = datastructures.ResponseSpec(
    data_container=api_types.ProblemBody,
    media_type=problems.MEDIA_TYPE,
    description="Refused or failed; `outcome` tells whether it ran.",
)


class CallerApi:
    """State shared by the handlers of the callers' API.

    Attributes:
        settings: settings of the router.
        fleet: known instances and the catalogue in force.
        store: answers that callers can attach to.
        pipeline: runs admitted requests.
        attacher: finds answers at this router or its peers.
        metrics: counts requests that are refused because they are invalid.
        rng: random numbers for the order of addresses.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        fleet_view: fleet.Fleet,
        store: answer_store.AnswerStore,
        pipeline: pipeline_lib.Pipeline,
        attacher: attach_lib.Attacher,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
    ):
        self.settings = settings
        self.fleet = fleet_view
        self.store = store
        self.pipeline = pipeline
        self.attacher = attacher
        self.metrics = metrics
        self.rng = rng

    def collect_addresses(self) -> list[api_types.Address]:
        """Returns the live routers, those in this data centre first.

        The order is otherwise random, to spread callers over the routers.
        """
        entries = [
            entry
            for entry in self.fleet.listed_instances.values()
            if self.fleet.state(entry.name) is membership_lib.PeerState.LIVE
        ]
        self.rng.shuffle(entries)
        own_data_centre = self.settings.data_centre
        entries.sort(key=lambda entry: entry.data_centre != own_data_centre)
        return [
            api_types.Address(entry.name, entry.data_centre, entry.url)
            for entry in entries
        ]

    async def serve(self, body: bytes, arrived_at: float) -> litestar.Response:
        """Validates and runs a request.

        Args:
            body: body of `POST /v1/requests`.
            arrived_at: earliest time at which the request may have arrived,
                monotonic seconds.

        Returns:
            The answer, as a whole or as a stream, or a problem.
        """
        if not self.fleet.is_ready:
            return responses.build_problem(
                problems.build_refusal(
                    outcome.RefusalReason.NOT_READY,
                    "the catalogue or the instance list has not been read yet",
                    retry_after_s=NOT_READY_RETRY_S,
                )
            )
        parsed = requests.parse_request(
            body,
            self.fleet.catalogue,
            self.settings.limits.default_deadline_s,
        )
        match parsed:
            case expression.Result(tag="error", error=rejection):
                return self._reject(rejection)
            case expression.Result(tag="ok", ok=request):
                return await self._serve_valid_request(request, arrived_at)

    async def _serve_valid_request(
        self, request: requests.CallerRequest, arrived_at: float
    ) -> litestar.Response:
        entry = self.store.find(request.workspace, request.request_id)
        if entry is not None and entry.fingerprint != request.fingerprint:
            refusal = problems.build_refusal(
                outcome.RefusalReason.KEY_IN_USE,
                "the request_id was used for another request",
                request.request_id,
            )
            return responses.build_problem(refusal)
        if entry is not None and entry.must_be_reused:
            feed = entry.feed
        else:
            refusal = self._find_refusal(request)
            if refusal is not None:
                return responses.build_problem(refusal)
            feed = self.pipeline.start(request, arrived_at)
        if request.is_streamed:
            return await responses.build_stream(feed, 0)
        return await responses.build_complete(feed)

    def _find_refusal(
        self, request: requests.CallerRequest
    ) -> problems.Problem | None:
        if self.pipeline.is_claimed(request):
            # The request may have run, so it must not be refused as not run.
            # The pipeline determines its outcome.
            return None
        if self._is_too_large(request):
            return problems.build_refusal(
                outcome.RefusalReason.TOO_LARGE,
                "the cost hint is above the workspace's largest request",
                request.request_id,
            )
        if self.fleet.refuses_new_requests:
            return problems.build_refusal(
                outcome.RefusalReason.DRAINING,
                "this router is shutting down; get the list of addresses again",
                request.request_id,
                retry_after_s=0.0,
            )
        return None

    def _is_too_large(self, request: requests.CallerRequest) -> bool:
        if request.cost_hint is None:
            return False
        if request.pool.kind is not catalogue_lib.ServiceKind.MODEL:
            return False
        workspace = self.fleet.catalogue.workspaces[request.workspace]
        return request.cost_hint > workspace.limits.largest_request

    def _reject(self, rejection: requests.Rejection) -> litestar.Response:
        self.metrics.count(f"refused.{rejection.reason.value}")
        return responses.build_problem(
            problems.build_refusal(
                rejection.reason,
                "; ".join(str(finding) for finding in rejection.findings),
                findings=tuple(rejection.findings),
            )
        )


def build_handlers(api: CallerApi) -> list[Callable]:
    """Returns the litestar handlers of the callers' API."""

    @litestar.get("/v1/addresses", summary="Routers that accept requests")
    async def get_addresses() -> litestar.Response[api_types.Addresses]:
        return litestar.Response(
            api_types.Addresses(
                api.collect_addresses(), api.settings.limits.address_ttl_s
            )
        )

    @litestar.post(
        "/v1/requests",
        status_code=200,
        summary="Run a request",
        operation_class=api_types.RequestOperation,
        responses={
            200: datastructures.ResponseSpec(
                data_container=api_types.WholeAnswer,
                description="The complete answer, or a stream of events.",
            ),
            400: PROBLEM_SPEC,
            404: PROBLEM_SPEC,
            409: PROBLEM_SPEC,
            413: PROBLEM_SPEC,
            422: PROBLEM_SPEC,
            429: PROBLEM_SPEC,
            502: PROBLEM_SPEC,
            503: PROBLEM_SPEC,
            504: PROBLEM_SPEC,
        },
    )
    async def post_request(request: litestar.Request) -> litestar.Response:
        now = api.pipeline.clock.monotonic()
        caller = caller_protocol.read_caller(request.scope, now)
        return await api.serve(await request.body(), caller.arrived_after)

    @litestar.get(
        "/v1/requests/{name:str}",
        summary="Attach to the answer of a request",
        responses={404: PROBLEM_SPEC},
    )
    async def get_request(
        name: params.FromPath[str],
        workspace: params.FromQuery[str],
        offset: Annotated[int, params.QueryParameter(ge=0)] = 0,
        local: params.FromQuery[bool] = False,
        fingerprint: params.FromQuery[str | None] = None,
    ) -> litestar.Response:
        attach_request = attach_lib.AttachRequest(
            workspace, name, offset, fingerprint
        )
        return await api.attacher.attach(attach_request, local_only=local)

    return [get_addresses, post_request, get_request]
