"""Steps of the scenarios about changes of the configuration."""

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from plantainstack.settings.fleet import FleetContent
from tests.fleet import running_fleet

scenarios("configuration.feature")

SECONDS = 15.0


class Story:
    """Hold what a scenario sets up, and what came of its change."""

    size = 0
    changes = ()
    down = False
    lost_answers = 0
    result = None
    versions = ()

    async def play(self, change):
        async with running_fleet(self.size) as fleet:
            for earlier in self.changes:
                assert (await self._make(fleet, *earlier)).is_ok()
            fleet.table.down = self.down
            fleet.table.lose_answers = self.lost_answers
            self.result = await self._make(fleet, *change)
            self.versions = fleet.versions()

    @staticmethod
    async def _make(fleet, author, option, value, base):
        results = []
        content = FleetContent(defaults={option: value}, exceptions=[])

        async def collect():
            config = fleet.nodes[0].config
            results.append(await config.change(author, base, content, author))

        fleet.tasks.start_soon(collect)
        await fleet.advance(SECONDS)
        return results[0]


@pytest.fixture
def story():
    return Story()


@given(parsers.parse("a fleet of {size:d} instances"))
def a_fleet(story, size):
    story.size = size


@given(parsers.parse('"{author}" has set "{option}" to "{value}" as version 1'))
def an_earlier_change(story, author, option, value):
    story.changes = [(author, option, value, 0)]


@given("the table service is down")
def table_down(story):
    story.down = True


@given("the table service loses its next answer")
def lost_answer(story):
    story.lost_answers = 1


@given("the table service loses every answer")
def lost_answers(story):
    story.lost_answers = 1000


@when(
    parsers.parse('"{author}" sets "{option}" to "{value}" based on version {base:d}')
)
def change(story, author, option, value, base):
    anyio.run(story.play, (author, option, value, base))


@then(parsers.parse('the change fails with "{kind}"'))
def fails(story, kind):
    assert story.result.unwrap_err().kind == kind


@then(parsers.parse('the message names "{text}"'))
def message_names(story, text):
    assert text in story.result.unwrap_err().message


@then(parsers.parse("the change is accepted as version {version:d}"))
def accepted(story, version):
    assert story.result.unwrap() == version


@then(parsers.parse("version {version:d} is in force everywhere"))
def in_force(story, version):
    assert set(story.versions) == {version}
