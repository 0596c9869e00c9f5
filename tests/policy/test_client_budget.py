"""Tests of the budget of clients and of the choice of the connection to close."""

import math

import pytest

from plantainstack.policy.client_budget import (
    READ_SIZE,
    READ_SIZE_MIN,
    Client,
    ClientBudget,
    ClientSizes,
    Cost,
    Stage,
    divide,
)


class FakeClient(Client):
    def __init__(self, stage=Stage.RECEIVING, held=0, parser_s=0.0, delivered=0, at=0):
        self._cost = Cost(stage, held, parser_s, delivered, at)
        self.cause = None

    def cost(self):
        return self._cost

    def close_for(self, cause):
        self.cause = cause


def closed_for_one_more(*clients):
    """Return the indexes of the clients closed when one more connects."""
    budget = ClientBudget(ClientSizes(len(clients), 10**6))
    newest = FakeClient(Stage.IDLE)
    for each in (*clients, newest):
        budget.add(each)
    assert len(budget.clients) == len(clients)
    return [i for i, each in enumerate((*clients, newest)) if each.cause]


def test_idle_connections_are_closed_first():
    """Guards against requests that fail while idle connections are kept."""
    costly, old = FakeClient(held=10**6), FakeClient(Stage.IDLE, at=1)
    assert closed_for_one_more(costly, FakeClient(Stage.IDLE, at=2), old) == [2]


@pytest.mark.parametrize("cost", [{"held": 10**6}, {"parser_s": 1.0}])
def test_the_costliest_request_against_what_was_delivered_is_closed(cost):
    """Guards against closing the oldest: a slow but honest upload."""
    oldest, useful = FakeClient(at=-100), FakeClient(**cost, delivered=50)
    assert closed_for_one_more(oldest, FakeClient(**cost), useful) == [1]


def test_running_requests_are_not_given_up_for_a_new_connection():
    """Guards against a crowd that ends accepted work by connecting."""
    assert closed_for_one_more(FakeClient(Stage.RUNNING, held=10**6)) == [1]
    slow_reader = FakeClient(Stage.UNREAD, held=10**6)
    assert closed_for_one_more(FakeClient(Stage.RUNNING), slow_reader) == [1]


def test_less_is_read_at_once_while_much_is_unparsed():
    budget = ClientBudget(ClientSizes(8, 10**6))
    assert budget.read_size() == READ_SIZE
    budget.read_in_turn = budget.unparsed = 600_000
    assert budget.read_size() == READ_SIZE_MIN
    budget.end_turn()
    assert budget.read_size() == READ_SIZE


@pytest.mark.parametrize("limit_mb", [0, 128, 160, 552])
def test_connections_leave_memory_for_one_body_of_the_default_limit(limit_mb):
    """Guards against a request that is told to come back, and never fits."""
    budget = ClientBudget(divide(limit_mb * 10**6, 10_250))
    for _ in range(budget.sizes.connections):
        budget.add(FakeClient())
    assert budget.body_bytes_max() >= 32 * 1024 * 1024
    assert ClientBudget(divide(10**6, 10)).body_bytes_max() == math.inf


def test_descriptors_are_left_for_files_and_for_others():
    sizes = divide(10**9, 1638)
    assert 0 < sizes.connections < (1638 - 200) * 0.7
    assert divide(10**9, 100).connections == 32
