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


class RecordingPlugin(Plugin):
    """Plug-in that records the calls of the kernel."""

    calls: list

    async def start(self, tasks):
        self.calls.append(("start", type(self).__name__))

    async def drain(self, deadline):
        self.calls.append(("drain", type(self).__name__))


def make_plugin(name, requires=()):
    return type(name, (RecordingPlugin,), {"name": name, "requires": requires})


async def test_plugins_start_after_and_drain_before_the_plugins_they_require():
    RecordingPlugin.calls = []
    kernel = Kernel(None, [make_plugin("b", ("a",)), make_plugin("a")])
    kernel.request_stop()
    await kernel.run(handle_signals=False)
    assert RecordingPlugin.calls == [
        ("start", "a"),
        ("start", "b"),
        ("drain", "b"),
        ("drain", "a"),
    ]
    assert kernel.state is State.STOPPED


@pytest.mark.parametrize("requires", [("b",), ("missing",)])
def test_cyclic_or_missing_requirements_are_refused(requires):
    plugins = [make_plugin("a", requires), make_plugin("b", ("a",))]
    with pytest.raises(KernelError):
        Kernel(None, plugins)


def test_older_configuration_is_not_applied():
    """Guards against reverting to an older configuration that arrives late."""
    kernel = Kernel(None, [])
    content = FleetContent(defaults={}, exceptions=[])
    assert kernel.apply_config(FleetConfig(2, content))
    assert not kernel.apply_config(FleetConfig(1, content))
    assert kernel.config.version == 2


def test_pause_is_detected_at_the_first_check_after_it():
    """Guards against admitting work on stale state between resuming and a tick."""
    clock = FakeClock()
    pause = PauseDetector(clock)
    assert not pause.check()
    clock.jump(PAUSE_LIMIT_S + 0.1)
    assert pause.check()
    pause.clear()
    assert not pause.check()


def test_reload_applies_changed_settings():
    """Guards against changed settings that take effect only after a restart."""
    kernel = Kernel("old", [], FakeClock(), load_settings=lambda: "new")
    kernel.reload()
    assert kernel.settings == "new"


def test_reload_of_invalid_settings_keeps_the_current_ones():
    """Guards against invalid settings that stop the process or clear its settings."""

    def load():
        raise ConfigurationError(["[store] address: missing"])

    kernel = Kernel("old", [], FakeClock(), load_settings=load)
    kernel.reload()
    assert kernel.settings == "old"


async def test_sighup_reloads_without_stopping():
    """Guards against SIGHUP ending the process, which is its default action."""
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
