"""Changes of services by operators, written with compare-and-swap."""

from __future__ import annotations

import dataclasses

import msgspec
from returns import result

from jasminebeam.configuration import validation
from jasminebeam.model import services
from jasminebeam.store import store

SERVICES_PREFIX = '/jasminebeam/services/'
MAX_CHANGE_IDS = 8


class StoredService(msgspec.Struct, frozen=True):
    """Value stored under the key of a service.

    Parameters
    ----------
    change_ids : tuple of str
        Identifiers of the latest changes, newest first; a repeated change
        is recognized by its identifier.
    service : Service or None
        The definition; None marks the service as deleted.
    public : bool
        True if callers need no key although there are teams.
    """

    change_ids: tuple[str, ...]
    service: services.Service | None
    public: bool | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a change failed or why its outcome is unknown.

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
    """Writes changes and resolves writes whose response was lost.

    Parameters
    ----------
    backend : Store
        Store of the platform.
    """

    def __init__(self, backend: store.Store) -> None:
        self._store = backend

    async def create(
        self, service: services.Service, change_id: str, public: bool = False
    ) -> Change:
        """Create a service that does not exist or has been deleted."""
        return await self._save(service, None, change_id, public)

    async def update(
        self,
        service: services.Service,
        expected_revision: int,
        change_id: str,
        public: bool = False,
    ) -> Change:
        """Replace a definition if its revision is the expected one."""
        return await self._save(service, expected_revision, change_id, public)

    async def delete(
        self, name: str, expected_revision: int, change_id: str
    ) -> Change:
        """Replace a definition with a tombstone."""
        return await self._write(name, None, expected_revision, change_id)

    async def _save(
        self,
        service: services.Service,
        expected_revision: int | None,
        change_id: str,
        public: bool,
    ) -> Change:
        checked = validation.check(service)
        if not isinstance(checked, result.Success):
            return result.Failure(Rejection('invalid', checked.failure()))
        return await self._write(
            service.name, service, expected_revision, change_id, public
        )

    async def _write(
        self,
        name: str,
        service: services.Service | None,
        expected_revision: int | None,
        change_id: str,
        public: bool = False,
    ) -> Change:
        if not change_id:
            return result.Failure(
                Rejection('invalid', 'change_id: must not be empty')
            )
        read = await self._store.get(SERVICES_PREFIX + name)
        if not isinstance(read, result.Success):
            return result.Failure(_unavailable('the change was not written'))
        current = read.unwrap()
        early_result = _check_preconditions(
            current, service, expected_revision, change_id
        )
        if early_result is not None:
            return early_result
        return await self._compare_and_set(
            name, service, current, change_id, public
        )

    async def _compare_and_set(
        self,
        name: str,
        service: services.Service | None,
        current: store.KeyValue | None,
        change_id: str,
        public: bool,
    ) -> Change:
        earlier = decode(current).change_ids if current is not None else ()
        change_ids = (change_id, *earlier)[:MAX_CHANGE_IDS]
        stored = StoredService(change_ids, service, public or msgspec.UNSET)
        value = msgspec.json.encode(stored)
        if len(value) > validation.MAX_SERVICE_BYTES:
            detail = f'at most {validation.MAX_SERVICE_BYTES} bytes'
            return result.Failure(Rejection('invalid', detail))
        revision = current.revision if current is not None else 0
        written = await self._store.compare_and_set(
            SERVICES_PREFIX + name, revision, value
        )
        if isinstance(written, result.Success):
            return result.Success(
                services.ServiceRevision(
                    name,
                    written.unwrap(),
                    change_id,
                    service,
                    public=stored.public,
                )
            )
        return await self._read_back(name, change_id, written.failure())

    async def _read_back(
        self, name: str, change_id: str, error: store.StoreError
    ) -> Change:
        """Read the key to find out whether an unconfirmed write succeeded."""
        read = await self._store.get(SERVICES_PREFIX + name)
        current = read.value_or(None)
        if current is not None and change_id in decode(current).change_ids:
            return result.Success(revision_of(current))
        if error is store.StoreError.CONFLICT:
            revision = current.revision if current is not None else 0
            return result.Failure(
                Rejection('conflict', 'changed meanwhile', revision)
            )
        return result.Failure(
            _unavailable('repeat the change with the same change_id')
        )


def decode(item: store.KeyValue) -> StoredService:
    """Decode the value stored under the key of a service.

    Raises
    ------
    msgspec.DecodeError
        If the value is not a stored service.
    """
    return msgspec.json.decode(item.value, type=StoredService)


def revision_of(item: store.KeyValue) -> services.ServiceRevision:
    """Return the revision that is stored under the key of a service.

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
        public=stored.public,
    )


def _check_preconditions(
    current: store.KeyValue | None,
    service: services.Service | None,
    expected_revision: int | None,
    change_id: str,
) -> Change | None:
    """Return the result of a change that needs no write; None otherwise.

    A change that has been written before succeeds. A change whose
    precondition does not hold is rejected.
    """
    stored = decode(current) if current is not None else None
    revision = current.revision if current is not None else 0
    if stored is not None and change_id in stored.change_ids:
        return result.Success(revision_of(current))
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
