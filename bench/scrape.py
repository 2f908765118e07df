"""Sums of the nodes' Prometheus metrics."""

from __future__ import annotations

import collections
import typing

from prometheus_client import parser


def sum_by_label(
    texts: typing.Iterable[str], name: str, label: str
) -> dict[str, float]:
    """Return a counter summed over nodes, by the value of a label."""
    sums: collections.Counter[str] = collections.Counter()
    for text in texts:
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == name:
                    sums[sample.labels.get(label, '')] += sample.value
    return dict(sums)


def total(texts: typing.Iterable[str], name: str) -> float:
    """Return a counter summed over nodes and labels."""
    return sum(sum_by_label(texts, name, '').values())
