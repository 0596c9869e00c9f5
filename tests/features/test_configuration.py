"""Step definitions of the scenarios in configuration.feature."""

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from plantainstack.settings.fleet import FleetContent
from tests.fleet import running_fleet

scenarios("configuration.feature")

CHANGE_LIMIT_S = 15.0


class Scenario:
    """Conditions of a scenario, with the result of its change once it has run."""

    size = 0
    changes = ()
    down = False
    lost_answers = 0
    result = None
    versions = ()

    async def run(self, change):
        async with running_fleet(self.size) as fleet:
            for earlier in self.changes:
                assert (await self._change(fleet, *earlier)).is_ok()
            fleet.table.down = self.down
            fleet.table.lose_answers = self.lost_answers
            self.result = await self._change(fleet, *change)
            self.versions = fleet.versions()

    @staticmethod
    async def _change(fleet, author, option, value, base):
        results = []
        content = FleetContent(defaults={option: value}, exceptions=[])

        async def collect():
            config = fleet.nodes[0].config
            results.append(await config.change(author, base, content, author))

        fleet.tasks.start_soon(collect)
        await fleet.advance(CHANGE_LIMIT_S)
        return results[0]


@pytest.fixture
def scenario():
    return Scenario()


@given(parsers.parse("a fleet of {size:d} instances"))
def a_fleet(scenario, size):
    scenario.size = size


@given(parsers.parse('"{author}" has set "{option}" to "{value}" as version 1'))
def an_earlier_change(scenario, author, option, value):
    scenario.changes = [(author, option, value, 0)]


@given("the table service is down")
def table_down(scenario):
    scenario.down = True


@given("the next response of the table service is lost")
def lost_answer(scenario):
    scenario.lost_answers = 1


@given("every response of the table service is lost")
def lost_answers(scenario):
    scenario.lost_answers = 1000


@when(
    parsers.parse('"{author}" sets "{option}" to "{value}" based on version {base:d}')
)
def change(scenario, author, option, value, base):
    anyio.run(scenario.run, (author, option, value, base))


@then(parsers.parse('the change fails with "{kind}"'))
def fails(scenario, kind):
    assert scenario.result.unwrap_err().kind == kind


@then(parsers.parse('the message contains "{text}"'))
def message_contains(scenario, text):
    assert text in scenario.result.unwrap_err().message


@then(parsers.parse("the change is accepted as version {version:d}"))
def accepted(scenario, version):
    assert scenario.result.unwrap() == version


@then(parsers.parse("version {version:d} is in force on all instances"))
def in_force(scenario, version):
    assert set(scenario.versions) == {version}
