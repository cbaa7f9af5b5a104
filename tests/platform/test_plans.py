"""Tests of decoding the operators' configuration."""

import msgspec
import pytest

from marigoldkeel.client_limits import DEFAULT_LIMITS, ClientLimits
from marigoldkeel.exceptions import InvalidInput
from marigoldkeel.platform.plans import decode_plan


ROUTE = {
    "name": "r-1",
    "host": "shop.example",
    "prefix": "/stock/",
    "kind": "unsafe",
    "timeout_ms": 1500,
    "slo_ms": 60,
    "priority": 0,
    "service": "s-1",
    "max_attempts": 4,
    "stretch": 1.6,
    "a_field_of_tomorrow": [1],
}


def encode(*routes: dict, version: object = 3, **fields) -> bytes:
    return msgspec.json.encode({"version": version, "routes": routes, **fields})


def test_route_is_decoded_as_a_queue():
    service = {"name": "s-1", "admission_check": True, "max_conns": 64}
    plan = decode_plan(encode(ROUTE, services=[service]))
    (queue,) = plan.queues
    assert (plan.version, queue.allowance_s, queue.stretch) == (3, 0.06, 1.6)
    assert (queue.max_attempts, queue.priority, queue.advice) == (4, 0, None)
    assert plan.services[0].enforces_capacity


def test_advice_is_decoded():
    advice = {"decide_ms": 50, "period_ms": 2, "valid_ms": 3000}
    (queue,) = decode_plan(encode({**ROUTE, "advice": advice})).queues
    assert (queue.advice.decide_s, queue.advice.valid_s) == (0.05, 3.0)


@pytest.mark.parametrize(
    "host, path, name",
    [
        ("shop.example", "/stock/0a", "r-1"),
        ("shop.example", "/stock/urgent/0a", "r-2"),
        ("shop.example", "/stoc", None),
        ("else.example", "/stock/0a", None),
        ("Shop.Example", "/stock/0a", "r-1"),
        ("shop.example", "/STOCK/0a", None),
    ],
)
def test_queue_with_the_longest_matching_prefix_is_found(host, path, name):
    longer = {**ROUTE, "name": "r-2", "prefix": "/stock/urgent/"}
    plan = decode_plan(encode(ROUTE, longer))
    queue = plan.find(host, path)
    assert (queue and queue.name) == name


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"[]", encode(version="x"), encode({"name": "r"}), b'{"routes":[]}'],
)
def test_malformed_configuration_is_rejected(data):
    with pytest.raises(InvalidInput, match="malformed configuration"):
        decode_plan(data)


@pytest.mark.parametrize(
    "fields, expected",
    [
        ({}, DEFAULT_LIMITS),
        ({"limits": {}}, DEFAULT_LIMITS),
        ({"limits": None}, DEFAULT_LIMITS),
        ({"limits": [1]}, DEFAULT_LIMITS),
        (
            {
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": 262_144,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                    "a_limit_of_tomorrow": 1,
                }
            },
            ClientLimits(16_384, 262_144, 3.0, 15.0),
        ),
        (
            {
                "limits": {
                    "max_header_bytes": "x",
                    "max_body_bytes": -1,
                    "header_timeout_ms": True,
                    "idle_timeout_ms": 15_000,
                }
            },
            ClientLimits(idle_timeout_s=15.0),
        ),
    ],
)
def test_limits_are_decoded_and_invalid_ones_have_their_default(fields, expected):
    # Guards against a plan that is rejected as a whole for one of its limits.
    plan = decode_plan(encode(ROUTE, **fields))
    assert (len(plan.queues), plan.limits) == (1, expected)
