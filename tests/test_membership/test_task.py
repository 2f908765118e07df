"""Tests of reports of watchers in the membership task."""

from __future__ import annotations

import math

import pytest

from jasminebeam.configuration import directory
from jasminebeam.membership import task
from jasminebeam.peering import control
from jasminebeam.peering import messages
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from tests.test_membership import test_gossip


class _Link:
    def __init__(self, address, on_lost):
        self.address = address
        self.sent = []
        self.lost = ''
        self._on_lost = on_lost

    def send(self, message):
        self.sent.append(message)
        return 30

    def mark_lost(self, reason):
        self.lost = reason

    def close(self):
        pass


def test_reports_within_milliseconds_closed_a_sound_connection():
    """A connection is silent after a time, not after some messages."""
    opened = []

    def open_link(address, on_message, on_lost):
        opened.append(_Link(address, on_lost))
        return opened[-1]

    links = control.ControlLinks(
        open_link, 12_000, lambda *args: None, metrics.Metrics(), 0.0
    )
    for index in range(4):
        report = messages.WatchReport(f'n{index}', 0, 1)
        links.send('10.0.0.1:1', report, float(index))
    assert [link.lost for link in opened] == ['']


def _task(state):
    return task.MembershipTask(
        state,
        directory.ServiceDirectory(),
        lambda member: None,
        lambda revision: None,
        lambda found, source: None,
        lambda unreachable: None,
        lambda: 0.0,
        events.EventLog('n', metrics.Metrics()),
        metrics.Metrics(),
    )


def test_lost_domain_stayed_the_first_one():
    """No other domain replaces its polls in place of a lost one."""
    names = [f'n{index}' for index in range(12)]
    network = test_gossip.SimulatedNetwork(names, domains=3)
    network.run(20)
    network.paused |= set(names[::3])
    network.run(60)
    members = [_task(network.nodes[name]) for name in names[1::3]]
    assert all(found.domain_position == 0 for found in members)


def test_node_that_left_alone_has_a_first_domain():
    """A node on its own still watches until its process ends."""
    network = test_gossip.SimulatedNetwork(['n0'])
    network.nodes['n0'].leave(1_000.0)
    assert _task(network.nodes['n0']).domain_position == 0


class _Links:
    """Links that record the replies to a report."""

    def __init__(self):
        self.replies = []

    def send(self, address, message, now_ms):
        """Ignore a message to another node."""

    def send_within_budget(self, message, send, now_ms):
        """Record a reply."""
        self.replies.append(message)


def _receive(report):
    network = test_gossip.SimulatedNetwork(
        [f'n{index}' for index in range(4)], domains=2
    )
    network.run(5)
    receiver = _task(network.nodes['n0'])
    links = _Links()
    receiver.attach(links)
    receiver.receive(report, lambda message: 0)
    return receiver, network.nodes['n0'], links.replies


def test_report_named_its_first_sender_as_the_source_of_routes():
    """The revision of a report is that of the node that passed it on."""
    _, state, replies = _receive(messages.WatchReport('n2', 0, 5))
    assert messages.RoutesQuery(0) in replies
    assert not state._routes._announcers


@pytest.mark.parametrize('watcher_id', ['no-member', 'n1', '', 'x' * 10_000])
def test_report_of_a_foreign_node_silenced_a_domain(watcher_id):
    """Only a node of the own failure domain can be its watcher."""
    receiver, _, replies = _receive(messages.WatchReport(watcher_id, 0, 5))
    assert replies == [messages.WatchReportAck()]
    assert receiver.watch_reports.age_ms(0.0) == math.inf
    receiver, _, _ = _receive(messages.WatchReport('n2', 0, 0))
    assert receiver.watch_reports.age_ms(0.0) == 0.0
