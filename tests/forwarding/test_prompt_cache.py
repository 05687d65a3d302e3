"""Estimate of the prompt parts in the caches of targets.

Only whole prefixes count as cached, the least recently used parts are evicted
first, and running requests have priority.
"""

from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests


def make_parts(*names):
    return tuple(requests.Part(name, 100) for name in names)


def count_cached(caches, target, parts):
    return caches.count_cached_by_target(parts).get(target, 0)


def test_part_counts_only_if_all_parts_before_it_are_cached():
    caches = prompt_cache.PromptCaches(10_000)
    caches.add_parts("t", make_parts("a", "b"), 0.0)
    assert count_cached(caches, "t", make_parts("a", "b", "c")) == 200
    assert count_cached(caches, "t", make_parts("x", "b")) == 0
    assert count_cached(caches, "other", make_parts("a")) == 0


def test_least_recently_used_parts_are_evicted():
    caches = prompt_cache.PromptCaches(400)
    caches.add_parts("t", make_parts("a"), 0.0)
    caches.add_parts("t", make_parts("b"), 0.0)
    caches.add_parts("t", make_parts("a"), 0.0)
    caches.add_parts("t", make_parts("c", "d"), 0.0)
    assert count_cached(caches, "t", make_parts("a")) == 100
    assert count_cached(caches, "t", make_parts("b")) == 0


def test_memory_of_running_requests_reduces_the_cache():
    caches = prompt_cache.PromptCaches(1000)
    caches.add_parts("t", make_parts("a", "b", "c"), 0.0)
    caches.add_parts("t", make_parts("d"), 850.0)
    assert count_cached(caches, "t", make_parts("a")) == 0
    assert count_cached(caches, "t", make_parts("d")) == 100


def test_forgotten_target_has_nothing_cached():
    caches = prompt_cache.PromptCaches(1000)
    caches.add_parts("t", make_parts("a"), 0.0)
    caches.forget("t")
    assert count_cached(caches, "t", make_parts("a")) == 0
