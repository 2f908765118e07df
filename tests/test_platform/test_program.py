"""Tests of the program as the platform starts it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import msgspec
import pytest

from jasminebeam.platform import program
from jasminebeam.platform import settings
from tests import platform_site

STARTED, STOPPED, RELOADED, REFUSED = 100, 102, 104, 105


@pytest.fixture
async def site():
    """Provide a store with a configuration."""
    created = platform_site.Site()
    await created.start()
    yield created
    await created.close()


async def _start(path):
    environment = {**os.environ, program.SETTINGS_VARIABLE: str(path)}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'jasminebeam.platform',
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def _wait_for(process, number):
    while True:
        line = await process.stdout.readline()
        assert line, (await process.stderr.read()).decode()
        event = msgspec.json.decode(line)
        if event.get('event') == number:
            return event


async def test_program_starts_reloads_and_stops(site, tmp_path):
    """A faulty file changes nothing; SIGTERM ends with status 0."""
    path = tmp_path / 'node.ini'
    text = site.render_text('n0')
    path.write_text(text)
    process = await _start(path)
    try:
        await _wait_for(process, STARTED)
        path.write_text('[adapter')
        process.send_signal(signal.SIGHUP)
        await _wait_for(process, REFUSED)
        # The file changes without a signal.
        path.write_text(text.replace('service = fees', 'service = seats'))
        assert (await _wait_for(process, RELOADED))['service'] == 'seats'
        process.send_signal(signal.SIGTERM)
        await _wait_for(process, STOPPED)
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def test_program_refuses_faulty_settings(tmp_path):
    """The message names the section."""
    path = tmp_path / 'node.ini'
    path.write_text('[node]\nnode_id = a\n')
    process = await _start(path)
    _, errors = await process.communicate()
    assert process.returncode == program.EXIT_INVALID_SETTINGS
    assert '[adapter]' in errors.decode()


@pytest.mark.parametrize(
    ('before', 'after', 'named'),
    [
        ('readiness = 127', 'readiness = nowhere', 'adapter'),
        ('tick_ms = 150', 'tick_ms = 1', 'peering'),
        ('[telemetry]', '[unknown]', 'unknown'),
    ],
)
async def test_faulty_values_are_named(site, before, after, named):
    """Each section is checked."""
    text = site.render_text('n0')
    assert before in text
    changed = text.replace(before, after)
    if after.endswith('nowhere'):
        changed = changed.replace('nowhere.0.0.1:', 'nowhere')
    assert named in settings.parse(changed).failure()
