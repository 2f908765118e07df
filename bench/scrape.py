"""Sums Prometheus counters over the nodes of a fleet."""

from __future__ import annotations

import collections
import typing

from prometheus_client import parser


def sum_by_label(
    expositions: typing.Iterable[str], name: str, label: str
) -> dict[str, float]:
    """Return the sum of a counter over all nodes for each label value."""
    sums: collections.Counter[str] = collections.Counter()
    for text in expositions:
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == name:
                    sums[sample.labels.get(label, '')] += sample.value
    return dict(sums)


def total(expositions: typing.Iterable[str], name: str) -> float:
    """Return the sum of a counter over all nodes and labels."""
    return sum(sum_by_label(expositions, name, '').values())
