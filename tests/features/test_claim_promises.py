"""Steps of the features on claims, on the modelled fleet."""

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
@when("the log answers everything")
def answer_all(fleet):
    for _ in range(ROUNDS):
        for index in range(len(fleet.routers)):
            claims_steps.complete_append(fleet, index, 0)
            claims_steps.complete_read(fleet, index, 0)
        fleet.advance(ROUND_S)


@when(parsers.parse("a caller asks router {index:d} for a new key"))
def ask_new(fleet, index):
    fleet.step += 1
    fleet.request_claim(fleet.routers[index], 0, 0.0)


@when(parsers.parse("the caller asks router {index:d} for the key again"))
def ask_again(fleet, index):
    fleet.step += 1
    fleet.request_claim(fleet.routers[index], 1, 0.0)


@when(
    parsers.parse(
        "the append of router {index:d} takes effect but its answer is lost"
    )
)
def lose_answer(fleet, index):
    fleet.routers[index].serve_append()
    fleet.routers[index].answer_append(is_lost=True, is_late=False)


@when(
    parsers.parse("the append of router {index:d} is lost and still under way")
)
def delay_append(fleet, index):
    fleet.routers[index].answer_append(is_lost=True, is_late=True)


@when(
    parsers.parse(
        "the append of router {index:d} takes effect and is still under way"
        " once more"
    )
)
def duplicate_append(fleet, index):
    fleet.routers[index].serve_append()
    fleet.routers[index].answer_append(is_lost=True, is_late=True)


@when(parsers.parse("the append of router {index:d} fails"))
def fail_append(fleet, index):
    fleet.routers[index].answer_append(is_lost=False, is_late=False)


@when("the late append takes effect")
def land_late(fleet):
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


@when(parsers.parse("router {index:d} goes on"))
def resume(fleet, index):
    fleet.routers[index].is_paused = False


@when(parsers.parse("router {index:d} restarts empty"))
def restart(fleet, index):
    fleet.kill(fleet.routers[index])


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(fleet, seconds):
    fleet.advance(seconds)


@when("all winners reach a target")
def run_winners(fleet):
    for index in reversed(range(len(fleet.winners))):
        fleet.dispatch(index, is_reached=True)


@when("the target refuses the winner's connection")
def refuse_connection(fleet):
    fleet.dispatch(0, is_reached=False)


@when("the winner's exchange ends")
def end_exchange(fleet):
    fleet.end_exchange(0, BROKEN)


@then(parsers.re(r"the request has run (?P<count>\d+) times?"))
def check_runs(fleet, count):
    assert len(fleet.runs.get(fleet.keys[-1], [])) == int(count)


@then(parsers.parse("router {index:d} knows that the key is held"))
def check_held(fleet, index):
    assert (
        fleet.routers[index].state_machine.look_up(fleet.keys[-1]) is not None
    )


@then(parsers.parse("the last attempt was refused as {reason}"))
def check_refused(fleet, reason):
    assert fleet.counts[f"refused.{reason}"] > 0
    assert fleet.attempts[len(fleet.attempts)].refused_at_step is not None


@then(parsers.parse("the last attempt was told {told}"))
def check_told(fleet, told):
    assert fleet.counts[f"ended.{told}"] == 1
