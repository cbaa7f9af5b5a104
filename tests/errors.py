"""Errors that tests inject into the components of a daemon."""

import inspect


class InjectedError(Exception):
    """An error that no code expects."""


def fail_once(monkeypatch, component, name: str) -> list[str]:
    """Let the next call of a method fail; return a list that then has an item."""
    method = getattr(component, name)
    failures: list[str] = []

    def call(*arguments, **options):
        if not failures:
            failures.append(name)
            raise InjectedError(name)
        return method(*arguments, **options)

    async def call_async(*arguments, **options):
        return await call(*arguments, **options)

    is_async = inspect.iscoroutinefunction(method)
    monkeypatch.setattr(component, name, call_async if is_async else call)
    return failures
