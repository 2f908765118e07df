"""Cache of the results of requests with an idempotency key."""

from __future__ import annotations

import collections
import dataclasses

import xxhash

from jasminebeam import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    fingerprint: int
    result: verdict.Verdict | None
    expires_ms: float


class IdempotencyCache:
    """Keeps the result of each key for a time window.

    Parameters
    ----------
    window_ms : float
        Time for which a result is kept.
    max_keys : int
        Maximum number of keys kept. Beyond it, the cache refuses new keys
        instead of evicting old ones.
    """

    def __init__(self, window_ms: float, max_keys: int) -> None:
        self.window_ms = window_ms
        self._max_keys = max_keys
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def claim(
        self, key: str, fingerprint: int, now_ms: float
    ) -> verdict.Verdict | None:
        """Claim a key for a first run, or return the caller's result.

        Returns
        -------
        Verdict or None
            None if the request may run. The request then holds the key
            until `record_result`.
        """
        self._expire(now_ms)
        entry = self._entries.get(key)
        if entry is None:
            if len(self._entries) >= self._max_keys:
                return verdict.not_run(verdict.Reason.KEY_TABLE_FULL)
            expires_ms = now_ms + self.window_ms
            self._entries[key] = _Entry(fingerprint, None, expires_ms)
            return None
        if entry.fingerprint != fingerprint:
            return verdict.not_run(verdict.Reason.KEY_CONFLICT)
        if entry.result is None:
            return verdict.may_have_run(verdict.Reason.KEY_BUSY)
        return entry.result

    def record_result(
        self, key: str, result: verdict.Verdict, now_ms: float
    ) -> None:
        """Record the result of the key's run; release the key if none ran."""
        entry = self._entries.pop(key, None)
        if entry is None or result.outcome is verdict.Outcome.NOT_RUN:
            return
        expires_ms = now_ms + self.window_ms
        self._entries[key] = _Entry(entry.fingerprint, result, expires_ms)

    def _expire(self, now_ms: float) -> None:
        for key, entry in list(self._entries.items()):
            if entry.expires_ms > now_ms:
                return
            if entry.result is not None:
                del self._entries[key]


def fingerprint(service: str, method: str, target: str, body: bytes) -> int:
    """Return a digest that detects different requests with the same key."""
    digest = xxhash.xxh3_64()
    for part in (service.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.intdigest()
