"""Fleet of the soak with jasminebeam's own interfaces."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import grpclib
from grpclib import exceptions

from bench import fleet
from bench import traffic
from jasminebeam.operators import channel as channel_module
from jasminebeam.operators.generated import operators_grpc
from jasminebeam.operators.generated import operators_pb2

OPERATOR_TIMEOUT_S = 3.0


class NativeFleet(fleet.Fleet):
    """Nodes that callers, upstreams and operators reach directly."""

    caller_dialect = traffic.NATIVE

    async def prepare(self) -> None:
        """Start all processes and put the services in force."""
        await self.start()
        await self.create_services()
        await self.wait_for_members()

    async def return_upstream(self, host: fleet.Host) -> None:
        """Put a drained or leaving upstream into service again."""
        await self.announce(host)

    async def on_node_restarted(self, host: fleet.Host) -> None:
        """Announce the upstream to the new process of its node."""
        await self.announce(host)

    async def has_newest_configuration(self, host: fleet.Host) -> None:
        """Return None: callers do not see which revision is in force."""

    async def change_configuration(self, host: fleet.Host, name: str) -> None:
        """Change a service at a node.

        Parameters
        ----------
        host : Host
            Host of the node.
        name : str
            Identifies the change.

        Raises
        ------
        GRPCError, OSError, TimeoutError
            If the change is refused or gets no answer.
        """
        async with self._operators(host) as stub:
            current = await self._service(stub)
            current.service.timeout_ms += 1
            await stub.UpdateService(
                operators_pb2.UpdateServiceRequest(
                    service=current.service,
                    expected_revision=current.revision,
                    change_id=name,
                )
            )

    async def revision(self, host: fleet.Host) -> int | None:
        """Return the revision in force at a node; None if it is silent."""
        try:
            async with self._operators(host) as stub:
                return (await self._service(stub)).revision
        except (grpclib.GRPCError, OSError, TimeoutError):
            return None

    @contextlib.asynccontextmanager
    async def _operators(
        self, host: fleet.Host
    ) -> typing.AsyncIterator[operators_grpc.OperatorsStub]:
        channel = channel_module.Channel(host.address, host.operator_port)
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                yield operators_grpc.OperatorsStub(channel)
        except exceptions.StreamTerminatedError as error:
            raise ConnectionResetError(*error.args) from error
        finally:
            channel.close()

    async def _service(
        self, stub: operators_grpc.OperatorsStub
    ) -> operators_pb2.ServiceRevision:
        name = self.site.services[0].name
        return await stub.GetService(
            operators_pb2.GetServiceRequest(name=name)
        )
