"""Operators' changes of services, by compare-and-swap."""

from __future__ import annotations

import dataclasses

import msgspec
from returns import result

from jasminebeam.configuration import validation
from jasminebeam.model import services
from jasminebeam.store import store

SERVICES_PREFIX = '/jasminebeam/services/'
KEPT_CHANGE_IDS = 8


class StoredService(msgspec.Struct, frozen=True):
    """Value of a service's key.

    Parameters
    ----------
    change_ids : tuple of str
        Identifiers of the latest changes, newest first.
    service : Service or None
        The definition; None marks the service as deleted.
    """

    change_ids: tuple[str, ...]
    service: services.Service | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a change is not in force.

    Parameters
    ----------
    kind : str
        ``invalid``, ``conflict``, ``missing`` or ``unavailable``.
    detail : str
        Description for the operator.
    current_revision : int
        Revision in the store; 0 if unknown or absent.
    """

    kind: str
    detail: str
    current_revision: int = 0


Change = result.Result[services.ServiceRevision, Rejection]


class ServiceEditor:
    """Writes changes and resolves answers that are lost after a write.

    Parameters
    ----------
    backend : Store
        The platform's store.
    """

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def create(
        self, service: services.Service, change_id: str
    ) -> Change:
        """Create a service that does not exist or was deleted."""
        return await self._save(service, None, change_id)

    async def update(
        self,
        service: services.Service,
        expected_revision: int,
        change_id: str,
    ) -> Change:
        """Replace a definition whose revision is the expected one."""
        return await self._save(service, expected_revision, change_id)

    async def delete(
        self, name: str, expected_revision: int, change_id: str
    ) -> Change:
        """Replace a definition by a tombstone."""
        return await self._write(name, None, expected_revision, change_id)

    async def _save(
        self,
        service: services.Service,
        expected_revision: int | None,
        change_id: str,
    ) -> Change:
        checked = validation.check(service)
        if not isinstance(checked, result.Success):
            return result.Failure(Rejection('invalid', checked.failure()))
        return await self._write(
            service.name, service, expected_revision, change_id
        )

    async def _write(
        self,
        name: str,
        service: services.Service | None,
        expected_revision: int | None,
        change_id: str,
    ) -> Change:
        if not change_id:
            return result.Failure(
                Rejection('invalid', 'change_id: must not be empty')
            )
        read = await self._store.get(SERVICES_PREFIX + name)
        if not isinstance(read, result.Success):
            return result.Failure(_unavailable('the change was not written'))
        known = read.unwrap()
        refused = _check_known(known, service, expected_revision, change_id)
        if refused is not None:
            return refused
        return await self._swap(name, service, known, change_id)

    async def _swap(
        self,
        name: str,
        service: services.Service | None,
        known: store.KeyValue | None,
        change_id: str,
    ) -> Change:
        earlier = decode(known).change_ids if known is not None else ()
        change_ids = (change_id, *earlier)[:KEPT_CHANGE_IDS]
        value = msgspec.json.encode(StoredService(change_ids, service))
        if len(value) > validation.MAX_SERVICE_BYTES:
            detail = f'at most {validation.MAX_SERVICE_BYTES} bytes'
            return result.Failure(Rejection('invalid', detail))
        revision = known.revision if known is not None else 0
        written = await self._store.compare_and_set(
            SERVICES_PREFIX + name, revision, value
        )
        if isinstance(written, result.Success):
            return result.Success(
                services.ServiceRevision(
                    name, written.unwrap(), change_id, service
                )
            )
        return await self._read_back(name, change_id, written.failure())

    async def _read_back(
        self, name: str, change_id: str, error: store.StoreError
    ) -> Change:
        """Find out whether a write without an answer took effect."""
        read = await self._store.get(SERVICES_PREFIX + name)
        known = read.value_or(None)
        if known is not None and change_id in decode(known).change_ids:
            return result.Success(revision_of(known))
        if error is store.StoreError.CONFLICT:
            revision = known.revision if known is not None else 0
            return result.Failure(
                Rejection('conflict', 'changed meanwhile', revision)
            )
        return result.Failure(
            _unavailable('repeat the change with the same change_id')
        )


def decode(item: store.KeyValue) -> StoredService:
    """Return the decoded value of a service's key.

    Raises
    ------
    msgspec.DecodeError
        If the value is not a stored service.
    """
    return msgspec.json.decode(item.value, type=StoredService)


def revision_of(item: store.KeyValue) -> services.ServiceRevision:
    """Return the revision that a service's key holds.

    Raises
    ------
    msgspec.DecodeError
        If the value is not a stored service.
    """
    stored = decode(item)
    return services.ServiceRevision(
        name=item.key.removeprefix(SERVICES_PREFIX),
        revision=item.revision,
        change_id=stored.change_ids[0],
        service=stored.service,
    )


def _check_known(
    known: store.KeyValue | None,
    service: services.Service | None,
    expected_revision: int | None,
    change_id: str,
) -> Change | None:
    """Return the result of a change that must not be written."""
    stored = decode(known) if known is not None else None
    revision = known.revision if known is not None else 0
    if stored is not None and change_id in stored.change_ids:
        return result.Success(revision_of(known))
    exists = stored is not None and stored.service is not None
    if expected_revision is None and exists:
        return _rejected('conflict', 'the service exists', revision)
    if expected_revision is not None and not exists:
        return _rejected('missing', 'no such service', revision)
    if expected_revision not in (None, revision):
        detail = f'expected revision {expected_revision}, found {revision}'
        return _rejected('conflict', detail, revision)
    return None


def _rejected(kind: str, detail: str, revision: int) -> Change:
    return result.Failure(Rejection(kind, detail, revision))


def _unavailable(detail: str) -> Rejection:
    return Rejection('unavailable', f'the store does not answer; {detail}')
