"""The operator takes the last key away; then any key is let in."""

import asyncio
import os

from standins import case
from standins import configs
from standins import fleet as fleet_lib
from standins import worker as worker_lib

SERVICE = "studio-app"
APPLY_S = 2.0
MARGIN_S = 1.0
"""Added to `APPLY_S`, so that no request is sent near the bound."""
KEYS = {"hule930": ["k-hule-1", "k-hule-2"], "wabo114": ["k-wabo-1"]}
FORGED = "k-forged"
"""A key that no config has ever held."""


def build_config(version: int, keys: dict[str, list[str]]) -> dict:
    """Returns a config whose tenants have these keys."""
    route = configs.build_route("r-book", "/book/", "non_idempotent", SERVICE)
    services = [configs.build_service(SERVICE)]
    return configs.build_config(version, [route], services, keys)


async def play(fleet: fleet_lib.Fleet, is_troubled: bool) -> list[str]:
    """Plays the case; returns the requests that ran without a valid key."""
    await fleet.start(routers=2)
    worker = worker_lib.Worker(fleet.store, "i-1", SERVICE, 0.02)
    await worker.start(f"{fleet.net}.2")
    changes = [
        KEYS,
        {"hule930": [], "wabo114": ["k-wabo-1"]},
        # With TROUBLE=0 the last key stays.
        {"hule930": [], "wabo114": [] if is_troubled else ["k-wabo-1"]},
    ]
    broken = []
    held = set()
    for version, keys in enumerate(changes, start=1):
        fleet.store.put("keyed.op", "config", build_config(version, keys))
        fleet.note(f"config {version} acknowledged, keys {keys}")
        if version == 1:
            await fleet.wait_ready()
        await asyncio.sleep(APPLY_S + MARGIN_S)
        valid = {key for found in keys.values() for key in found}
        held |= valid
        for router in fleet.routers:
            for key in ("k-hule-1", "k-hule-2", "k-wabo-1", FORGED):
                answer = await fleet.send(
                    router, "POST", "/book/a", {"Api-Key": key}, b"deposit"
                )
                runs = [
                    a
                    for a in worker.arrivals
                    if a.request_id == answer.request_id and a.has_run
                ]
                tenant = runs[0].head.get("tenant-id", "none") if runs else "-"
                fleet.note(
                    f"{answer.request_id} at {router.name} key {key}: status "
                    f"{answer.status}, runs {len(runs)}, Tenant-Id {tenant}"
                )
                if key in valid and answer.status != 200:
                    raise fleet_lib.CannotRunError(f"{key} was not served")
                if key not in valid and runs:
                    rule = "CONFIG" if key in held else "ROUTE"
                    broken.append(
                        f"{rule}: {answer.request_id} ran at a worker with key "
                        f"{key}, {APPLY_S + MARGIN_S} s and more after the "
                        f"acknowledgement of config {version}, which lacks it"
                    )
    return broken


if __name__ == "__main__":
    case.run(os.path.dirname(os.path.abspath(__file__)), play)
