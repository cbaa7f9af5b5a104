"""Guards against broken docstring examples of the modules for embedded use."""

import doctest
from importlib import import_module

import pytest


@pytest.mark.parametrize(
    "module", ["claims", "partitions", "heartbeats", "watches", "fleet.lateness"]
)
def test_docstring_example(module):
    result = doctest.testmod(import_module(f"marigoldkeel.{module}"))
    assert result.attempted and not result.failed
