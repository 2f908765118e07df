"""Answers kept for callers' idempotency keys."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

from jasminebeam import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    fingerprint: int
    result: verdict.Verdict | None
    until_ms: float


class KeyedAnswers:
    """Keeps the result of each key for a window.

    Parameters
    ----------
    window_ms : float
        Time for which a result is kept.
    max_keys : int
        Keys kept; further new keys are refused rather than old ones
        forgotten.
    """

    def __init__(self, window_ms: float, max_keys: int) -> None:
        self.window_ms = window_ms
        self._max_keys = max_keys
        self._kept: collections.OrderedDict[str, _Kept] = (
            collections.OrderedDict()
        )

    def claim(
        self, key: str, fingerprint: int, now_ms: float
    ) -> verdict.Verdict | None:
        """Claim a key for a first run, or return the result to give.

        Returns
        -------
        Verdict or None
            None if the request may run; it then holds the key until
            `settle` or `forget`.
        """
        self._expire(now_ms)
        kept = self._kept.get(key)
        if kept is None:
            if len(self._kept) >= self._max_keys:
                return verdict.not_run(verdict.Reason.KEY_TABLE_FULL)
            until_ms = now_ms + self.window_ms
            self._kept[key] = _Kept(fingerprint, None, until_ms)
            return None
        if kept.fingerprint != fingerprint:
            return verdict.not_run(verdict.Reason.KEY_CONFLICT)
        if kept.result is None:
            return verdict.may_have_run(verdict.Reason.KEY_BUSY)
        return kept.result

    def settle(self, key: str, result: verdict.Verdict, now_ms: float) -> None:
        """Record the result of the key's run."""
        kept = self._kept.pop(key, None)
        if kept is None or result.outcome is verdict.Outcome.NOT_RUN:
            return
        until_ms = now_ms + self.window_ms
        self._kept[key] = _Kept(kept.fingerprint, result, until_ms)

    def _expire(self, now_ms: float) -> None:
        for key, kept in list(self._kept.items()):
            if kept.until_ms > now_ms:
                return
            if kept.result is not None:
                del self._kept[key]


def fingerprint(service: str, method: str, target: str, body: bytes) -> int:
    """Return a digest that tells different requests with one key apart."""
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.intdigest()
