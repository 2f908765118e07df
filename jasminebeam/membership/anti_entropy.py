"""Replies by which two nodes find and exchange differing records."""

from __future__ import annotations

import typing

from jasminebeam.peering import messages

if typing.TYPE_CHECKING:
    from jasminebeam.configuration import directory
    from jasminebeam.membership import table

# Maximum number of records in one `Sync` message.
SYNC_CHUNK_RECORDS = 200


def reply_to_request(
    members: table.MemberTable,
    services: directory.ServiceDirectory,
    message: messages.SyncRequest,
) -> list[messages.Message]:
    """Return the differing digests of members and services.

    The services themselves are returned at once.
    """
    replies: list[messages.Message] = []
    groups = members.differing_groups(message.member_groups)
    if groups:
        buckets = tuple(map(members.bucket_digests, groups))
        replies.append(messages.SyncDetail(tuple(groups), buckets))
    revisions = services.differing(message.config_buckets)
    for start in range(0, len(revisions), SYNC_CHUNK_RECORDS):
        chunk = tuple(revisions[start : start + SYNC_CHUNK_RECORDS])
        replies.append(messages.Sync(revisions=chunk))
    return replies


def reply_to_detail(
    members: table.MemberTable, message: messages.SyncDetail
) -> list[messages.Message]:
    """Return a query for the buckets that differ, if there are any."""
    differing = [
        bucket
        for group, digests in zip(
            message.groups, message.buckets, strict=False
        )
        for bucket in members.differing_buckets(group, digests)
    ]
    return [messages.SyncPull(tuple(differing))] if differing else []


def reply_to_pull(
    members: table.MemberTable, message: messages.SyncPull
) -> list[messages.Message]:
    """Return the member records of some buckets."""
    records = members.members_in_buckets(message.buckets)
    return [
        messages.Sync(
            members=tuple(records[start : start + SYNC_CHUNK_RECORDS])
        )
        for start in range(0, len(records), SYNC_CHUNK_RECORDS)
    ]
