"""A store, nodes and upstreams behind the platform's protocol."""

from __future__ import annotations

import asyncio
import json
import pathlib

import aiohttp

from bench.standins import platform_store
from bench.standins import platform_upstream
from jasminebeam import node
from jasminebeam.platform import adapter
from jasminebeam.platform import settings
from tests import ports

TEMPLATE = pathlib.Path(__file__).parents[1] / 'deploy' / 'node.ini'
HOST = 'camp.example'


def configuration(version=1, path='/fee/', kind='unsafe', **action):
    """Return the operators' value."""
    document = {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 300,
            'idleTimeoutMs': 15_000,
        },
        'listeners': [
            {
                'host': HOST,
                'rules': [
                    {
                        'name': 'r',
                        'kind': kind,
                        'aimMs': 400,
                        'priority': 1,
                        'match': {'prefix': path},
                        'action': {
                            'service': 'fees',
                            'timeoutMs': 1_500,
                            'maxAttempts': 2,
                            **action,
                        },
                    }
                ],
            }
        ],
        'clusters': [
            {'name': 'fees', 'healthPath': '/health', 'maxConnections': 99}
        ],
    }
    return json.dumps(document).encode()


class Site:
    """A store, nodes and their upstreams in one process."""

    def __init__(self):
        self.store = platform_store.PlatformStoreStandIn(ports.free_port())
        self.nodes = []
        self.settings = []
        self.upstreams = []
        self.session = None

    async def start(self):
        """Start the store with a first configuration."""
        await self.store.start()
        await self.store.put('op/config', configuration())
        self.session = aiohttp.ClientSession()

    def render(self, name):
        """Return checked settings from the deployed template."""
        return settings.parse(self.render_text(name)).unwrap()

    def render_text(self, name):
        """Return a settings file from the deployed template."""
        peers, metrics = ports.free_port(), ports.free_port()
        values = {
            'nodeId': name,
            'ip': '127.0.0.1',
            'zone': 'a',
            'region': 'r',
            'internalPorts.0': peers,
            'internalPorts.1': metrics,
            'listen.outbound': f'127.0.0.1:{ports.free_port()}',
            'listen.ready': f'127.0.0.1:{ports.free_port()}',
            'listen.control': f'127.0.0.1:{ports.free_port()}',
            'appAddr': f'127.0.0.1:{ports.free_port()}',
            'service': 'fees',
            'platform.address': f'127.0.0.1:{self.store.port}',
        }
        text = TEMPLATE.read_text()
        for placeholder, value in values.items():
            text = text.replace('{{' + placeholder + '}}', str(value))
        return text.replace('stop_grace_ms = 2500', 'stop_grace_ms = 50')

    async def add(self, beat=True, healthy=True):
        """Start an upstream and the node beside it."""
        name = f'n{len(self.nodes)}'
        loaded = self.render(name)
        address = settings.parse_address(loaded.adapter.upstream)
        beside = platform_upstream.PlatformUpstreamStandIn(
            address.port, f'i-{name}', 'fees'
        )
        beside.healthy = healthy
        await beside.start()
        self.upstreams.append(beside)
        self.settings.append(loaded)
        created = await self.run(loaded)
        self.nodes.append(created)
        if beat:
            assert (
                await beside.send_heartbeat(loaded.adapter.announcements)
                == 200
            )
        return created

    async def run(self, loaded):
        """Start a node and wait until it is ready."""
        created = node.Node(loaded.node, adapter.PlatformAdapter(loaded))
        await created.start()
        await eventually(lambda: created.ready)
        return created

    async def ask(self, index=0, path='/fee/1', left_ms=1_000, **headers):
        """Send a request to a node and return status, headers and body."""
        address = self.settings[index].adapter.callers
        sent = {
            'Host': HOST,
            'Request-Id': headers.pop('request_id', 'abc'),
            'Deadline-Ms': str(left_ms),
            **headers,
        }
        async with self.session.post(
            f'http://{address}{path}', headers=sent, data=b'x'
        ) as response:
            body = await response.read()
            return response.status, response.headers, body

    async def eventually(self, condition):
        """Wait until a condition holds."""
        await eventually(condition)

    async def close(self):
        """Stop everything."""
        await self.session.close()
        for created in self.nodes:
            await created.stop()
        for beside in self.upstreams:
            await beside.stop()
        await self.store.stop()


async def eventually(condition, timeout_s=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
