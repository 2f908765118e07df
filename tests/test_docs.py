"""Tests that the reference pages match the code."""

from __future__ import annotations

import pathlib
import re

import logbook
import msgspec

from jasminebeam import settings
from jasminebeam.telemetry import events

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def test_settings_page_names_each_key_and_default():
    """The page lists the sections, keys and defaults of the code."""
    text = (DOCS / 'settings.md').read_text()
    parts = re.split(r'^## \[(\w+)\]$', text, flags=re.MULTILINE)[1:]
    documented = dict(zip(parts[::2], parts[1::2], strict=True))
    assert list(documented) == list(settings.SECTIONS)
    for name, section_type in settings.SECTIONS.items():
        rows = re.findall(r'^\| `(\w+)` \| (.+?) \|', documented[name], re.M)
        expected = []
        for field in msgspec.structs.fields(section_type):
            default = f'`{field.default}`'
            if field.default is msgspec.NODEFAULT:
                default = 'needed'
            elif field.default == '':
                default = 'empty'
            expected.append((field.name, default))
        assert rows == expected


def test_events_page_lists_each_event():
    """The page lists the numbers, levels and texts of the code."""
    text = (DOCS / 'events.md').read_text()
    rows = re.findall(r'^\| (\d+) \| (\w+) \| (.+?) \|', text, re.MULTILINE)
    expected = [
        (
            str(event.value.number),
            logbook.get_level_name(event.value.level).lower(),
            event.value.text,
        )
        for event in events.Event
    ]
    assert rows == expected


def test_event_numbers_are_unique():
    """A number identifies exactly one kind of event."""
    numbers = [event.value.number for event in events.Event]
    assert len(numbers) == len(set(numbers))


def test_code_writes_each_event():
    """The catalogue holds no event that the code never writes."""
    package = DOCS.parent / 'jasminebeam'
    code = '\n'.join(
        path.read_text()
        for path in package.rglob('*.py')
        if path.name != 'events.py'
    )
    for event in events.Event:
        assert f'Event.{event.name}' in code


def test_links_between_pages_have_targets():
    """No page links to a file that does not exist."""
    pages = [*DOCS.rglob('*.md'), DOCS.parent / 'README.md']
    for page in pages:
        for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            assert (page.parent / target).exists(), (page, target)
