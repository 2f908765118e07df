"""Tests of background tasks that fail unexpectedly."""

from __future__ import annotations

import asyncio
import operator
import pathlib

import pytest

from bench import virtual_time
import jasminebeam
from jasminebeam.model import upstreams
from jasminebeam import node
from jasminebeam.sidecar import sidecar
from jasminebeam import supervision
from jasminebeam.telemetry import events
from jasminebeam.telemetry import metrics
from jasminebeam import verdict
from tests import ports
from tests.test_configuration import test_relay


class FailingOnce:
    """Raises on the first call, then calls the original."""

    def __init__(self, original):
        self.original = original
        self.calls = 0

    def __call__(self, *args, **kwargs):
        """Raise or call."""
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError('unexpected')
        return self.original(*args, **kwargs)


# Object, method that the background task calls, name of the task.
NODE_TASKS = (
    ('membership._state', 'tick', 'Node._run_membership'),
    ('pool', 'tick', 'Node._tick_peers'),
    ('sidecar', 'expire', 'Node._tick_sidecar'),
    ('probes', 'services_in_use', 'LoadProber.run'),
    ('sidecar', 'check_health', 'Node._read_load'),
)


@pytest.mark.parametrize(('path', 'method', 'task'), NODE_TASKS)
async def test_node_restarts_a_failed_task(path, method, task, monkeypatch):
    """Each background task must be logged and go on after an error."""
    monkeypatch.setattr(node, 'EXPIRE_IDLE_TICK_S', 0.01)
    monkeypatch.setattr(node, 'IDLE_TICK_S', 0.01)
    tested = node.Node(ports.node_settings('n'))
    await tested.start()
    tested.attach_upstream(
        upstreams.Announcement('fees', ports.free_port(), 9)
    )
    owner = operator.attrgetter(path)(tested)
    failing = FailingOnce(getattr(owner, method))
    monkeypatch.setattr(owner, method, failing)
    records = asyncio.Queue(1_000)
    with tested.log.subscribe(records):
        async with asyncio.timeout(20.0):
            while failing.calls < 2:
                # Wakes the task that plans probes.
                tested.probes._requested.set()
                await asyncio.sleep(0.01)
    failures = [
        record
        for record in (records.get_nowait() for _ in range(records.qsize()))
        if record.kind is events.Event.TASK_FAILED.value
    ]
    assert [record.fields['task'] for record in failures] == [task]
    assert 'unexpected' in failures[0].fields['error']
    await tested.stop()


def test_relay_watches_again_after_an_error():
    """A relay must not hold its lease without a watch."""
    setup = test_relay.RelaySetup()
    listing = FailingOnce(setup.store.list)
    listing.calls = -1
    setup.store.list = listing
    found = setup.add_relay()
    setup.run(5.0)
    setup.write()
    setup.run(5.0)
    assert found.service('fees') is not None
    setup.close()


class _Client:
    def __init__(self):
        self.check_health = FailingOnce(self._check_health)

    async def _check_health(self):
        return upstreams.Health(True, 'i', None)


def test_sidecar_polls_again_after_an_error():
    """A failed check must not stop the polling of the host's slowness."""
    loop = virtual_time.VirtualTimeLoop()
    counters = metrics.Metrics()
    tested = sidecar.Sidecar(
        1,
        sidecar.Limits(),
        events.EventLog('n', counters),
        counters,
        lambda: loop.time() * 1_000,
    )
    failing = _Client()
    tested.attach(upstreams.Announcement('fees', 1, 9), failing)
    tested.on_report(upstreams.LoadReport(0, 0, 9, slowness=1.0))
    answered = []
    tested._execution.answer_query = lambda *_: answered.append(True)
    tested._polling._queries = [(None, None, 0.0)]

    async def poll():
        await asyncio.sleep(1.0)
        tested._polling.start()
        await asyncio.sleep(1.0)

    loop.run_until_complete(poll())
    assert failing.check_health.calls >= 2
    assert answered
    loop.close()


async def test_supervised_task_ends_when_it_returns():
    """A task that returns must not start again."""
    starts = []

    async def start():
        starts.append(True)
        if len(starts) < 3:
            raise ValueError(len(starts))

    log = events.EventLog('n', metrics.Metrics())
    await supervision.supervise(start, log, 0.0)
    assert len(starts) == 3


async def test_failed_exchange_is_logged(monkeypatch):
    """An unexpected error in an exchange must be logged with its cause."""
    counters = metrics.Metrics()
    log = events.EventLog('n', counters)
    tested = sidecar.Sidecar(1, sidecar.Limits(), log, counters, lambda: 0.0)
    records = asyncio.Queue(10)

    async def fail():
        raise KeyError('bug')

    task = asyncio.ensure_future(fail())
    await asyncio.wait([task])
    with log.subscribe(records):
        result = tested._execution.result_of(task)
    assert result.outcome is verdict.Outcome.MAY_HAVE_RUN
    assert "KeyError('bug')" in records.get_nowait().fields['error']


def test_only_one_module_opens_http_connections():
    """All HTTP clients of a node must use the shared connector."""
    package = pathlib.Path(jasminebeam.__file__).parent
    found = [
        path.name
        for path in package.rglob('*.py')
        if 'ClientSession(' in path.read_text()
        or 'TCPConnector(' in path.read_text()
    ]
    assert found == ['http_client.py']
