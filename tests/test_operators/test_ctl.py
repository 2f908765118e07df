"""Tests of the command line against a node with TLS."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import sys

import pytest
import trustme

from bench.standins import store as stand_in_store
from jasminebeam import node
from tests import ports

PROGRAM = pathlib.Path(sys.executable).parent / 'jasminebeam-ctl'


class Operator:
    """Runs the command line against one node."""

    def __init__(self, directory):
        self._directory = directory
        self.store_port = ports.free_port()
        self.store = stand_in_store.StandInStore(self.store_port)
        self.flags = []
        self.node = None

    async def start(self):
        """Start the store and a node with certificates."""
        await self.store.start()
        authority = trustme.CA()
        ca_path = self._directory / 'ca.pem'
        authority.cert_pem.write_to_path(str(ca_path))
        server = self._issue(authority, 'server')
        client = self._issue(authority, 'client')
        endpoint = f'http://127.0.0.1:{self.store_port}'
        checked = ports.node_settings('n1', endpoint)
        operators = type(checked.operators)(
            port=checked.operators.port,
            tls_certificate=server,
            tls_key=server,
            tls_client_ca=str(ca_path),
        )
        checked = dataclasses.replace(checked, operators=operators)
        self.node = node.Node(checked)
        await self.node.start()
        self.server_flags = [
            f'--address=127.0.0.1:{checked.operators.port}',
            f'--tls_ca={ca_path}',
        ]
        self.flags = [
            *self.server_flags,
            f'--tls_certificate={client}',
            f'--tls_key={client}',
        ]

    async def run(self, *arguments, flags=None):
        """Run a command and return exit status, output and errors."""
        process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            *(self.flags if flags is None else flags),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    def write_service(self, **fields):
        """Write a service file and return its path."""
        path = self._directory / 'service.json'
        document = {'name': 'fees', 'hosts': ['fees.example'], **fields}
        path.write_text(json.dumps(document))
        return str(path)

    async def stop(self):
        """Stop the node and the store."""
        await self.node.stop()
        await self.store.stop()

    def _issue(self, authority, name):
        path = self._directory / f'{name}.pem'
        issued = authority.issue_cert('127.0.0.1')
        issued.private_key_and_cert_chain_pem.write_to_path(str(path))
        return str(path)


@pytest.fixture
async def operator(tmp_path):
    """Provide a node that requires client certificates."""
    created = Operator(tmp_path)
    await created.start()
    yield created
    await created.stop()


async def test_life_of_a_service_and_exit_codes(operator):
    """Create, conflict, update, invalid, delete, not found, unavailable."""
    path = operator.write_service()
    created = await operator.run('--json', 'create', path)
    assert created[0] == 0
    revision = int(json.loads(created[1])[0]['revision'])
    assert (await operator.run('create', path))[0] == 3
    stale = await operator.run('update', path, '--revision=999')
    assert stale[0] == 3
    assert f'current revision {revision}' in stale[2]
    wrong = operator.write_service(timeout_ms=0)
    invalid = await operator.run('update', wrong, f'--revision={revision}')
    assert invalid[0] == 2
    assert 'timeout_ms: must be between 1 and 600000' in invalid[2]
    where = await operator.run('--json', 'where', 'fees')
    assert json.loads(where[1])[0]['in_force'] == 1
    deleted = await operator.run('delete', 'fees', f'--revision={revision}')
    assert deleted[0] == 0
    assert (await operator.run('get', 'fees'))[0] == 5
    await operator.store.set_faults(stand_in_store.Faults(down=True))
    path = operator.write_service()
    assert (await operator.run('create', path))[0] == 4


async def test_client_without_a_certificate_is_refused(operator):
    """It gets no answer, and its exit code says so."""
    refused = await operator.run('list', flags=operator.server_flags)
    assert refused[0] == 4
    assert 'no answer' in refused[2]
    assert (await operator.run('list'))[0] == 0


async def test_mistakes_on_the_command_line(operator):
    """Usage is shown, and nothing is called."""
    assert (await operator.run('nonsense'))[0] == 2
    assert (await operator.run('get'))[0] == 2
    missing = await operator.run('create', '/does/not/exist')
    assert missing[0] == 2
    assert 'No such file' in missing[2]
