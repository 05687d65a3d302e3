"""Beliefs about caches: prefixes only, oldest first, running work first."""

from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests


def parts(*names):
    return tuple(requests.Part(name, 100) for name in names)


def test_a_part_counts_only_after_all_parts_before_it():
    caches = prompt_cache.PromptCaches(10_000)
    caches.add_parts("t", parts("a", "b"), 0.0)
    assert caches.count_cached("t", parts("a", "b", "c")) == 200
    assert caches.count_cached("t", parts("x", "b")) == 0
    assert caches.count_cached("other", parts("a")) == 0


def test_the_least_recently_used_parts_yield():
    caches = prompt_cache.PromptCaches(400)
    caches.add_parts("t", parts("a"), 0.0)
    caches.add_parts("t", parts("b"), 0.0)
    caches.add_parts("t", parts("a"), 0.0)
    caches.add_parts("t", parts("c", "d"), 0.0)
    assert caches.count_cached("t", parts("a")) == 100
    assert caches.count_cached("t", parts("b")) == 0


def test_running_requests_take_memory_first():
    caches = prompt_cache.PromptCaches(1000)
    caches.add_parts("t", parts("a", "b", "c"), 0.0)
    caches.add_parts("t", parts("d"), 850.0)
    assert caches.count_cached("t", parts("a")) == 0
    assert caches.count_cached("t", parts("d")) == 100


def test_a_target_that_started_anew_holds_nothing():
    caches = prompt_cache.PromptCaches(1000)
    caches.add_parts("t", parts("a"), 0.0)
    caches.forget("t")
    assert caches.count_cached("t", parts("a")) == 0
