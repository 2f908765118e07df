"""Tests of the validation of the settings file."""

from __future__ import annotations

import pathlib

import pytest
from returns import result

from jasminebeam import settings

VALID = """
[node]
node_id = n1
[callers]
port = 7000
[peering]
port = 7001
[upstream]
announce_port = 7002
[operators]
port = 7003
"""


def test_smallest_file_is_valid():
    """All keys that the smallest file omits have defaults."""
    checked = settings.parse(VALID).unwrap()
    assert checked.peering.control_bytes_per_s == 12_000


@pytest.mark.parametrize(
    ('before', 'after', 'message'),
    [
        ('port = 7000', 'port = 0', '[callers] port: Expected `int` >= 1'),
        ('port = 7000', 'port = x', '[callers] port: Expected `int`'),
        ('port = 7001', '', '[peering] Object missing required field `port`'),
        ('node_id = n1', 'node_id =', '[node] node_id: Expected `str`'),
        ('[node]', '[node]\nspeed = 9', 'unknown field `speed`'),
        ('[node]', '[engine]\nx = 1\n[node]', 'unknown section [engine]'),
        ('[node]', 'x\n[node]', 'File contains no section headers'),
        (
            'port = 7001',
            'port = 7001\npublic_key = ' + 'k' * 40,
            'public_key, secret_key and server_key must be set together',
        ),
        (
            'port = 7003',
            'port = 7003\ntls_key = key.pem',
            'tls_certificate, tls_key and tls_client_ca must be set together',
        ),
    ],
)
def test_error_message_names_the_section_or_key(before, after, message):
    """The message names the section or key, unless the text is not INI."""
    refused = settings.parse(VALID.replace(before, after, 1))
    assert isinstance(refused, result.Failure)
    assert message in refused.failure()


def test_error_message_names_the_missing_file():
    """The message names the path of the file."""
    path = pathlib.Path('/does/not/exist.ini')
    assert str(path) in settings.load(path).failure()
