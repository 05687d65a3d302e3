"""Steps of the fleet model, for generated histories.

Each step is a function of the fleet and two small integers that select a
router, a key or a delay. A tool such as Hypothesis can generate and shrink
them.
"""

from collections.abc import Callable
import random

from bench import claims_model

MAX_CHOICE = 63

AGES_S = (0.0, 0.0, 0.0, 0.1, 1.0, 300.0, 590.0, 599.9, 601.0, -20.0, -40.0)
"""Ages of new keys, around the limits of the claim window; negative ones are
timestamps in the future. Repeated values are more likely."""

SHORT_DELAYS_S = (0.01, 0.02, 0.05, 0.1)
LONG_DELAYS_S = (1.0, 10.0, 400.0, 1900.0, 4000.0)
"""Delays that exceed timeouts, the claim window or the log retention."""

RECENT_KEYS = 3
OLDER_KEYS = 24

Step = Callable[[claims_model.FleetModel, int, int], None]


def _select_unpaused(
    fleet: claims_model.FleetModel, choice: int
) -> list[claims_model.RouterModel]:
    """Returns the selected router in a list; an empty list if it is paused."""
    router = fleet.routers[choice % len(fleet.routers)]
    return [] if router.is_paused else [router]


def claim_new_key(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Lets a caller request a claim on a new key."""
    for router in _select_unpaused(fleet, a):
        fleet.request_claim(router, 0, AGES_S[b % len(AGES_S)])


def retry_key(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Lets a caller retry a recent key, in one of eight cases an older one."""
    reach = OLDER_KEYS if b % 8 == 0 else RECENT_KEYS
    for router in _select_unpaused(fleet, a):
        fleet.request_claim(router, 1 + b % reach, 0.0)


def complete_append(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Applies and answers the append in flight."""
    for router in _select_unpaused(fleet, a):
        router.serve_append()
        router.answer_append(is_lost=False, is_late=False)


def serve_append(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Applies the append in flight."""
    fleet.routers[a % len(fleet.routers)].serve_append()


def answer_append(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Delivers or loses the answer to the append in flight."""
    for router in _select_unpaused(fleet, a):
        router.answer_append(is_lost=b % 4 > 0, is_late=b % 4 > 1)


def apply_late_append(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Applies an append whose answer was lost."""
    if fleet.log.late_appends:
        append = fleet.log.late_appends.pop(a % len(fleet.log.late_appends))
        fleet.log.apply(append, fleet.elapsed_s)


def complete_read(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Serves and answers the read in flight."""
    for router in _select_unpaused(fleet, a):
        router.serve_read()
        router.answer_read()


def serve_read(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Serves the read in flight."""
    fleet.routers[a % len(fleet.routers)].serve_read()


def answer_read(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Delivers the answer to the read in flight, or fails the read."""
    for router in _select_unpaused(fleet, a):
        router.answer_read()


def dispatch(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Lets a winner dispatch its request, which may not reach a target."""
    fleet.dispatch(a, is_reached=b % 4 > 0)


def end_exchange(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Ends a winner's exchange with its target."""
    fleet.end_exchange(
        a, claims_model.TARGET_ENDS[b % len(claims_model.TARGET_ENDS)]
    )


def hang_up(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Lets the caller of a recent attempt hang up."""
    fleet.hang_up(len(fleet.attempts) - a % RECENT_KEYS)


def advance(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Advances the time by a short delay."""
    fleet.advance(SHORT_DELAYS_S[a % len(SHORT_DELAYS_S)])


def advance_long(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Advances the time by a long delay."""
    fleet.advance(LONG_DELAYS_S[a % len(LONG_DELAYS_S)])


def toggle_log(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Takes the log down in one of four cases, or brings it back."""
    fleet.log.is_down = not fleet.log.is_down and a % 4 == 0


def toggle_pause(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Pauses or resumes a router."""
    router = fleet.routers[a % len(fleet.routers)]
    router.is_paused = not router.is_paused and b % 2 == 0


def kill(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Kills a router and restarts it with empty state."""
    router = fleet.routers[a % len(fleet.routers)]
    router.is_paused = False
    fleet.kill(router)


def stop(fleet: claims_model.FleetModel, a: int, b: int) -> None:
    """Requests a router's graceful stop in one of four cases."""
    for router in _select_unpaused(fleet, a):
        if b % 4 == 0:
            fleet.stop(router)


WEIGHTS: dict[Step, int] = {
    claim_new_key: 6,
    retry_key: 18,
    complete_append: 16,
    serve_append: 6,
    answer_append: 4,
    apply_late_append: 2,
    complete_read: 40,
    serve_read: 6,
    answer_read: 3,
    dispatch: 12,
    end_exchange: 8,
    hang_up: 1,
    advance: 40,
    advance_long: 1,
    toggle_log: 1,
    toggle_pause: 1,
    kill: 1,
    stop: 1,
}
STEPS: tuple[Step, ...] = tuple(
    step for step, weight in WEIGHTS.items() for _ in range(weight)
)


def run_step(
    fleet: claims_model.FleetModel, step: Step, a: int, b: int
) -> None:
    """Runs a step and increments the logical clock."""
    fleet.step += 1
    step(fleet, a, b)


def run_random_step(fleet: claims_model.FleetModel, rng: random.Random) -> None:
    """Runs one random step."""
    step = rng.choice(STEPS)
    run_step(
        fleet, step, rng.randint(0, MAX_CHOICE), rng.randint(0, MAX_CHOICE)
    )
