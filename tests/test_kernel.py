"""Tests of the kernel."""

import os
import signal

import anyio
import pytest

from plantainstack.clock import FakeClock
from plantainstack.errors import ConfigurationError, KernelError
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


def test_settings_are_read_again_on_request():
    """Guards against a changed file that needs a restart to be seen."""
    kernel = Kernel("old", [], FakeClock(), load_settings=lambda: "new")
    kernel.reload()
    assert kernel.settings == "new"


def test_settings_with_a_fault_leave_those_in_force():
    """Guards against a process that ends, or serves without settings."""

    def load():
        raise ConfigurationError(["[store] address: missing"])

    kernel = Kernel("old", [], FakeClock(), load_settings=load)
    kernel.reload()
    assert kernel.settings == "old"


async def test_a_hangup_signal_reloads_and_ends_nothing():
    """Guards against a process that SIGHUP ends, as is its default."""
    loaded = anyio.Event()

    def load():
        loaded.set()
        return "new"

    kernel = Kernel("old", [], load_settings=load)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kernel.run)
        while signal.getsignal(signal.SIGHUP) in (signal.SIG_DFL, signal.SIG_IGN):
            await anyio.sleep(0.001)
        os.kill(os.getpid(), signal.SIGHUP)
        await loaded.wait()
        assert kernel.state is State.SERVING
        kernel.request_stop()
