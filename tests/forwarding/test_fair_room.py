"""A pool that is short of capacity, with seven whole routers in virtual time.

Five of eight targets leave, and more than three times what the others can
begin is asked for. The callers of some workspaces come to one router only.
"""

import asyncio
import dataclasses
import random

import pytest

from lentilbeam_core import ids
from tests.forwarding import gateway_fleet
from tests.forwarding import makers

SLOTS = 16
ROUTERS = 7
ALL = tuple(f"r{number}" for number in range(ROUTERS))
SMALL = ("900,80", 1060)
LARGE = ("6000,500", 7000)
CALM_S = 6.0
WARM_UP_S = 2.0
MIN_FAIR_FRACTION = 0.5


@dataclasses.dataclass
class Asker:
    """A workspace and the results of its callers.

    Attributes:
        name: the workspace, which is also its API key.
        routers: routers that its callers come to.
        per_s: requests per second.
        prompt: value of `Token-Count`, and the cost of a request.
        results: what its callers got.
    """

    name: str
    routers: tuple[str, ...]
    per_s: float
    prompt: tuple[str, int] = SMALL
    results: list[gateway_fleet.Result] = dataclasses.field(
        default_factory=list
    )

    def get_cost_begun(self, since: float) -> int:
        """Returns the cost of the requests that began in the calm seconds."""
        return self.prompt[1] * sum(
            result.status == 200 and since <= result.sent_at < since + CALM_S
            for result in self.results
        )

    def get_cost_asked(self, since: float) -> int:
        """Returns the cost of all requests in the calm seconds."""
        return self.prompt[1] * sum(
            since <= result.sent_at < since + CALM_S for result in self.results
        )


async def ask(fleet, asker: Asker, seconds: float, seed: int) -> None:
    """Sends the requests of a workspace at random times."""
    rng = random.Random(f"{asker.name} {seed}")
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    number = 0
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(asker.per_s))
        names = [name for name in asker.routers if name in fleet.gateways]
        if not names:
            continue
        number += 1
        result = gateway_fleet.Result("", 0.0)
        asker.results.append(result)
        tokens = asker.prompt[0].partition(",")[0]
        fleet.send_soon(
            rng.choice(names),
            path="/chat/1",
            deadline_ms=6000,
            result=result,
            api_key=asker.name,
            token_count=asker.prompt[0],
            prefix_hash=f"{asker.name}{number}:{tokens}",
        )


def simulate(
    askers: list[Asker], seed: int, disturb=None
) -> tuple[gateway_fleet.Fleet, float]:
    """Returns the fleet after the load, and when the calm seconds began."""
    fleet = gateway_fleet.Fleet(
        routers=ROUTERS,
        targets=0,
        seed=seed,
        engine=makers.ENGINE,
        tokens_per_s=32_000.0,
        workspaces={each.name: ids.WorkspaceId(each.name) for each in askers},
    )
    began_at = 0.0

    async def scenario(fleet) -> None:
        nonlocal began_at
        for number in range(8):
            fleet.add_target(f"t{number}", slots=SLOTS)
        load = [
            asyncio.ensure_future(
                ask(fleet, each, 2 * WARM_UP_S + CALM_S, seed)
            )
            for each in askers
        ]
        await asyncio.sleep(WARM_UP_S)
        for number in range(5):
            fleet.remove_target(f"t{number}")
        await asyncio.sleep(WARM_UP_S)
        began_at = asyncio.get_running_loop().time()
        if disturb is not None:
            disturb(fleet)
        await asyncio.gather(*load)

    fleet.run(scenario)
    return fleet, began_at


def find_min_fair_fraction(askers: list[Asker], since: float) -> float:
    """Returns the least that a workspace got of what it was due.

    That is what it asked for or what the best-served workspace got, whichever
    is less, minus three of its requests.
    """
    most = max(each.get_cost_begun(since) for each in askers)
    fractions = []
    for each in askers:
        due = min(each.get_cost_asked(since), most) - 3 * each.prompt[1]
        fractions.append(each.get_cost_begun(since) / max(due, 1))
    return min(fractions)


def make_askers(
    prompt_one=SMALL, prompt_all=SMALL, lonely=("r6",)
) -> list[Asker]:
    """Returns four workspaces at all routers, and one at each lonely router.

    Args:
        prompt_one: prompts of the workspaces at one router.
        prompt_all: prompts of the others.
        lonely: routers to which the callers of one workspace come.
    """
    factor = max(SMALL[1] / prompt_one[1], 0.4)
    return [
        *(
            Asker(f"one-{name}", (name,), 36.0 * factor, prompt_one)
            for name in lonely
        ),
        *(Asker(f"all{number}", ALL, 32.0, prompt_all) for number in range(4)),
    ]


def restart_router(fleet) -> None:
    """Kills the router of a lonely workspace and starts it again."""
    fleet.stop_router("r6")
    fleet.start_router("r6")


SCENARIOS = {
    "one_lonely": (make_askers, None),
    "large_others": (lambda: make_askers(SMALL, LARGE), None),
    "large_lonely": (lambda: make_askers(LARGE, SMALL), None),
    "two_lonely": (lambda: make_askers(lonely=("r3", "r6")), None),
    "none_lonely": (lambda: make_askers(lonely=()), None),
    "partitioned": (make_askers, lambda fleet: fleet.part(["r0", "r1"])),
    "restarted": (make_askers, restart_router),
}


# Guards against FAIR: a slot that becomes free is known first to the router
# where it does, so a workspace at one router gets what is free there only.
@pytest.mark.parametrize("name", SCENARIOS)
def test_each_workspace_gets_half_its_share(name):
    make, disturb = SCENARIOS[name]
    askers = make()
    _, since = simulate(askers, 1, disturb)
    assert find_min_fair_fraction(askers, since) > MIN_FAIR_FRACTION
