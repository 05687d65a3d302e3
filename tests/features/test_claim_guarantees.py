"""Steps of the features about claims, on the simulated fleet."""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from bench import claims_model
from bench import claims_steps
from lentilbeam_core import outcome

ROUNDS = 30
ROUND_S = 0.1
BROKEN = outcome.TargetEnd.BROKEN

pytest_bdd.scenarios("at_most_once.feature", "refused_not_run.feature")
when = pytest_bdd.when
then = pytest_bdd.then


@pytest.fixture
def fleet() -> claims_model.FleetModel:
    return claims_model.FleetModel()


@pytest_bdd.given("three routers that have read the claim log")
@when("all calls to the log complete")
def complete_log_calls(fleet):
    for _ in range(ROUNDS):
        for index in range(len(fleet.routers)):
            claims_steps.complete_append(fleet, index, 0)
            claims_steps.complete_read(fleet, index, 0)
        fleet.advance(ROUND_S)


@when(
    parsers.parse("a caller sends a request with a new key to router {index:d}")
)
def send_request(fleet, index):
    fleet.step += 1
    fleet.request_claim(fleet.routers[index], 0, 0.0)


@when(parsers.parse("the caller retries the request at router {index:d}"))
def retry_request(fleet, index):
    fleet.step += 1
    fleet.request_claim(fleet.routers[index], 1, 0.0)


@when(
    parsers.parse(
        "the append of router {index:d} takes effect but its response is lost"
    )
)
def lose_response(fleet, index):
    fleet.routers[index].serve_append()
    fleet.routers[index].answer_append(is_lost=True, is_late=False)


@when(
    parsers.parse("the append of router {index:d} fails but is still in flight")
)
def delay_append(fleet, index):
    fleet.routers[index].answer_append(is_lost=True, is_late=True)


@when(
    parsers.parse(
        "the append of router {index:d} takes effect and a copy is still in"
        " flight"
    )
)
def duplicate_append(fleet, index):
    fleet.routers[index].serve_append()
    fleet.routers[index].answer_append(is_lost=True, is_late=True)


@when(parsers.parse("the append of router {index:d} fails"))
def fail_append(fleet, index):
    fleet.routers[index].answer_append(is_lost=False, is_late=False)


@when("the append in flight takes effect")
def apply_append_in_flight(fleet):
    claims_steps.apply_late_append(fleet, 0, 0)


@when("the log goes down")
def stop_log(fleet):
    fleet.log.is_down = True


@when(parsers.parse("the log keeps records for only {seconds:d} seconds"))
def shorten_retention(fleet, seconds):
    fleet.log.retention_s = seconds


@when(parsers.parse("router {index:d} is paused"))
def pause(fleet, index):
    fleet.routers[index].is_paused = True


@when(parsers.parse("router {index:d} resumes"))
def resume(fleet, index):
    fleet.routers[index].is_paused = False


@when(parsers.parse("router {index:d} restarts without state"))
def restart(fleet, index):
    fleet.kill(fleet.routers[index])


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(fleet, seconds):
    fleet.advance(seconds)


@when("all winning requests are dispatched")
def dispatch_winners(fleet):
    for index in reversed(range(len(fleet.winners))):
        fleet.dispatch(index, is_reached=True)


@when("the target refuses the connection of the winning request")
def refuse_connection(fleet):
    fleet.dispatch(0, is_reached=False)


@when("the winning request fails")
def fail_winner(fleet):
    fleet.end_exchange(0, BROKEN)


@then(parsers.re(r"the request ran (?P<count>\d+) times?"))
def check_runs(fleet, count):
    assert len(fleet.runs.get(fleet.keys[-1], [])) == int(count)


@then(parsers.parse("router {index:d} knows the claim of the key"))
def check_claim_known(fleet, index):
    assert (
        fleet.routers[index].state_machine.look_up(fleet.keys[-1]) is not None
    )


@then(parsers.parse("the last attempt was refused as {reason}"))
def check_refused(fleet, reason):
    assert fleet.counts[f"refused.{reason}"] > 0
    assert fleet.attempts[len(fleet.attempts)].refused_at_step is not None


@then(parsers.parse("the last attempt ended as {outcome_name}"))
def check_outcome(fleet, outcome_name):
    assert fleet.counts[f"ended.{outcome_name}"] == 1
