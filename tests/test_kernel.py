"""Tests of the kernel."""

import pytest

from plantainstack.clock import FakeClock
from plantainstack.errors import KernelError
from plantainstack.kernel import PAUSE_LIMIT_S, Kernel, PauseDetector, State
from plantainstack.plugins import Plugin
from plantainstack.settings.fleet import FleetConfig, FleetContent

pytestmark = pytest.mark.anyio


class Base(Plugin):
    """Record the calls of the kernel."""

    calls: list

    async def start(self, tasks):
        self.calls.append(("start", type(self).__name__))

    async def drain(self, deadline):
        self.calls.append(("drain", type(self).__name__))


def make_plugin(name, requires=()):
    return type(name, (Base,), {"name": name, "requires": requires})


async def test_plugins_start_after_and_drain_before_what_they_require():
    Base.calls = []
    kernel = Kernel(None, [make_plugin("b", ("a",)), make_plugin("a")])
    kernel.request_stop()
    await kernel.run(handle_signals=False)
    assert Base.calls == [
        ("start", "a"),
        ("start", "b"),
        ("drain", "b"),
        ("drain", "a"),
    ]
    assert kernel.state is State.STOPPED


@pytest.mark.parametrize("requires", [("b",), ("missing",)])
def test_impossible_requirements_are_refused(requires):
    plugins = [make_plugin("a", requires), make_plugin("b", ("a",))]
    with pytest.raises(KernelError):
        Kernel(None, plugins)


def test_an_older_configuration_never_comes_into_force():
    """Guards against a configuration that reverts."""
    kernel = Kernel(None, [])
    content = FleetContent(defaults={}, exceptions=[])
    assert kernel.apply_config(FleetConfig(2, content))
    assert not kernel.apply_config(FleetConfig(1, content))
    assert kernel.config.version == 2


def test_a_frozen_process_is_detected_at_the_first_check_after_it():
    """Guards against work that a woken process admits before its first tick."""
    clock = FakeClock()
    pause = PauseDetector(clock)
    assert not pause.check()
    clock.jump(PAUSE_LIMIT_S + 0.1)
    assert pause.check()
    pause.clear()
    assert not pause.check()
