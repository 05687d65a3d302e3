"""Whole processes on loopback: a store, targets, routers, and their faults.

Waits have limits but no timed bounds; those belong to the bench.
"""

import asyncio
import signal

import httpx
import pytest

from tests.forwarding import platform_world


def play(tmp_path, scenario, routers=2, targets=2):
    async def run():
        world = platform_world.PlatformWorld(tmp_path)
        try:
            await world.start(routers, targets)
            return await scenario(world)
        finally:
            await world.stop()

    return asyncio.run(run())


def test_requests_are_served_and_a_change_is_in_force_at_all(tmp_path):
    async def scenario(world):
        for router in world.routers:
            assert (await world.call(router, "/book/1")).text == "done"
            stream = await world.call(router, "/chat/1")
            assert stream.text.count("data: word") == 20
            assert (await world.call(router, "/new/1")).status_code == 404
        await world.publish("/new/")

        async def is_in_force():
            answers = [await world.call(r, "/new/1") for r in world.routers]
            return all(answer.status_code == 200 for answer in answers)

        await world.wait_until(is_in_force)
        await world.write("keyed.op", "config", b"no configuration")
        await world.write("keyed.servers", "odd", b"{}")
        assert (await world.call("router-1", "/new/1")).status_code == 200

    play(tmp_path, scenario)


def test_a_planned_stop_cuts_nothing_and_withdraws_the_address(tmp_path):
    async def scenario(world):
        streams = [
            asyncio.create_task(world.call("router-1", f"/chat/{number}"))
            for number in range(8)
        ]
        await asyncio.sleep(0.3)
        world.processes["router-1"].send_signal(signal.SIGTERM)

        async def is_withdrawn():
            return len(await world.resolve("router-2")) == 1

        await world.wait_until(is_withdrawn)
        assert not await world.is_ready("router-1")
        late = await world.call("router-1", "/book/late")
        assert late.text == "done"
        assert late.headers["connection"] == "close"
        for stream in await asyncio.gather(*streams):
            assert stream.text.count("data: word") == 20
        await asyncio.to_thread(world.processes["router-1"].wait, 20)
        assert world.processes["router-1"].returncode == 0
        assert '"event":"stopped","active":0' in world.read_log("router-1")

    play(tmp_path, scenario)


def test_a_leaving_target_gets_no_new_work_and_ends_what_it_has(tmp_path):
    async def scenario(world):
        stream = asyncio.create_task(world.call("router-1", "/chat/1"))
        await asyncio.sleep(0.2)
        await world.list_target("t1", "draining")

        async def is_known():
            logs = [world.read_log(router) for router in world.routers]
            return all('"state":"leaving"' in log for log in logs)

        await world.wait_until(is_known)
        seals = {
            (await world.call(router, f"/look/{n}")).headers["response-seal"]
            for router in world.routers
            for n in range(10)
        }
        assert seals == {"t2"}
        assert (await stream).text.count("data: word") == 20

    play(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["is_down", "is_silent"])
def test_routers_go_on_without_the_store_and_follow_it_again(tmp_path, fault):
    async def scenario(world):
        await world.set_faults(**{fault: True})
        await asyncio.sleep(0.5)
        for router in world.routers:
            assert (await world.call(router, "/book/1")).status_code == 200
        await world.set_faults()
        await world.publish("/new/")

        async def is_in_force():
            answers = [await world.call(r, "/new/1") for r in world.routers]
            return all(answer.status_code == 200 for answer in answers)

        await world.wait_until(is_in_force)

    play(tmp_path, scenario)


def test_history_that_is_gone_is_read_anew(tmp_path):
    async def scenario(world):
        await world.publish("/a/")
        await world.set_faults(forget=True)
        await world.publish("/b/")

        async def is_in_force():
            return (await world.call("router-1", "/b/1")).status_code == 200

        await world.wait_until(is_in_force)

    play(tmp_path, scenario, routers=1)


def test_a_router_that_starts_without_the_store_refuses_as_not_run(tmp_path):
    async def scenario(world):
        world.processes["router-1"].kill()
        world.processes["router-1"].wait()
        await world.set_faults(is_down=True)
        world.start_router("router-1")

        async def is_listening():
            try:
                response = await world.call("router-1", "/book/1")
            except httpx.HTTPError:
                return False
            assert response.status_code == 503
            assert float(response.headers["retry-after"]) > 0
            return True

        await world.wait_until(is_listening)
        assert not await world.is_ready("router-1")
        await world.set_faults()
        await world.wait_until(lambda: world.is_ready("router-1"))

    play(tmp_path, scenario)


def test_a_killed_router_is_not_given_to_callers_and_returns(tmp_path):
    async def scenario(world):
        world.processes["router-1"].kill()

        async def is_withdrawn():
            return len(await world.resolve("router-2")) == 1

        await world.wait_until(is_withdrawn)
        world.start_router("router-1")
        await world.wait_until(world.are_all_ready)

    play(tmp_path, scenario)


def test_a_target_that_dies_costs_no_booking_a_second_run(tmp_path):
    async def scenario(world):
        calls = [
            asyncio.create_task(world.call(router, f"/book/{number}"))
            for number in range(20)
            for router in world.routers
        ]
        world.processes["t1"].kill()
        answers = await asyncio.gather(*calls)
        del world.targets["t1"]
        assert {a.status_code for a in answers} <= {200, 502, 503}
        counts = await world.count_runs()
        assert all(count == 1 for count in counts.values())

    play(tmp_path, scenario)


def test_a_hangup_and_a_changed_file_are_taken_in(tmp_path):
    async def scenario(world):
        file = tmp_path / "router-1.json"
        file.write_text(
            file.read_text().replace('"grace_s": 8', '"grace_s": 6')
        )
        world.processes["router-1"].send_signal(signal.SIGHUP)

        async def is_taken():
            return "settings_changed" in world.read_log("router-1")

        await world.wait_until(is_taken)
        file.write_text("{")
        world.processes["router-1"].send_signal(signal.SIGHUP)

        async def is_reported():
            return "bad_settings" in world.read_log("router-1")

        await world.wait_until(is_reported)
        assert (await world.call("router-1", "/book/1")).status_code == 200

    play(tmp_path, scenario, routers=1)
