"""The server of the operators' calls that the schema file declares."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from linnetwood.core.errors import ConfigError, LinnetwoodError, WireError
from linnetwood.core.events import Event, log
from linnetwood.core.sizes import MIB
from linnetwood.core.trust import OPERATE, READ, Operator, operator_of
from linnetwood.fleet import configuration as rules
from linnetwood.fleet.configchanges import ConfigChanges
from linnetwood.fleet.configuration import Proposal
from linnetwood.fleet.members import ENDPOINT, ENTRY, Health, accepts_work
from linnetwood.fleet.progress import Instant, RolloutProgress
from linnetwood.fleet.runtime import Runtime
from linnetwood.fleet.sampling import ProgressSampler
from linnetwood.gen.schema import Operators
from linnetwood.gen.schema.ttypes import (
    Answer,
    Configuration,
    Deployment,
    EndpointStatus,
    Intent,
    Refusal,
    RolloutStatus,
    Status,
)
from linnetwood.gen.wire.ttypes import DrainOrder, Member
from linnetwood.wire import codec
from linnetwood.wire.accepting import BoundedServer
from linnetwood.wire.connectionlimit import ConnectionLimit, Stage
from linnetwood.wire.frames import FrameKind

_LENGTH_BYTES = 4
_MAX_CALL = 2 * MIB
_MAX_CONNECTIONS = 32
_ZONE_SILENT_S = 12.0
_DRAIN_TIMEOUT_S = 2.0
_READ_CALLS = frozenset(('settle', 'configuration', 'status', 'endpoints'))
# The library raises these for malformed calls.
_CALL_ERRORS = (
    TException,
    LinnetwoodError,
    ValueError,
    EOFError,
    ssl.SSLError,
)
_factory = TCompactProtocolAcceleratedFactory(
    string_length_limit=codec.MAX_STRING,
    container_length_limit=codec.MAX_ITEMS,
)


class OperatorCalls:
    """Execute the operators' calls."""

    def __init__(self, runtime: Runtime) -> None:
        """Use the parts of the entry."""
        self._runtime = runtime
        self._progress = RolloutProgress()
        self._sampler = ProgressSampler(runtime.dialler, runtime.rng)
        self._changes = ConfigChanges(
            runtime.store, runtime.clock, runtime.config.adopt
        )

    async def apply(
        self,
        deployment: Deployment,
        base_revision: int,
        operation_id: str,
        operator_name: str,
    ) -> Answer:
        """Replace the whole deployment."""
        return await self._propose(
            Proposal(
                deployment,
                base_revision,
                operation_id,
                operator_name,
                'apply',
            ),
        )

    async def startRollout(
        self,
        intent: Intent,
        base_revision: int,
        operation_id: str,
        operator_name: str,
    ) -> Answer:
        """Set the intent for one model."""
        current = self._runtime.config.deployment
        summary = f'start {intent.model} {intent.version} x{intent.replicas}'
        return await self._propose(
            Proposal(
                rules.with_intent(current, intent),
                base_revision,
                operation_id,
                operator_name,
                summary,
            ),
        )

    async def cancelRollout(
        self,
        model: str,
        base_revision: int,
        operation_id: str,
        operator_name: str,
    ) -> Answer:
        """Restore what the model's intent replaced."""
        current = self._runtime.config.deployment
        try:
            deployment = rules.without_rollout(current, model)
        except ConfigError as exc:
            raise Refusal(exc.code, exc.detail) from exc
        return await self._propose(
            Proposal(
                deployment,
                base_revision,
                operation_id,
                operator_name,
                f'cancel {model}',
            ),
        )

    async def settle(self, operation_id: str) -> Answer:
        """Return whether an earlier change was accepted."""
        return await self._changes.settle(operation_id)

    async def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self._runtime.config.current

    async def status(self) -> Status:
        """Return the fleet and its rollouts as this entry sees them."""
        members = self._members()
        me = self._runtime.gossip.own_record
        clock = self._runtime.clock
        rollouts = self._progress.report(
            self._runtime.config.deployment,
            members,
            await self._sampler.sample(
                self._runtime.config.deployment, members
            ),
            Instant(clock.now(), clock.wall()),
        )
        return Status(
            vm=me.vm,
            availability_zone=me.availability_zone,
            revision=self._runtime.config.current.revision,
            platform_reachable=self._runtime.config.store_reachable,
            entries=_count(members, ENTRY),
            endpoints=_count(members, ENDPOINT),
            unreachable_zones=self._runtime.gossip.unreachable_zones(
                _ZONE_SILENT_S,
            ),
            rollouts=list[RolloutStatus](rollouts),
            control_bytes_sent=self._runtime.gossip.sent_bytes,
            control_bytes_received=self._runtime.gossip.received_bytes,
        )

    async def endpoints(self) -> list[EndpointStatus]:
        """Return every endpoint as this entry sees it."""
        return [
            _endpoint_status(member)
            for member in sorted(self._members(), key=lambda one: one.vm)
            if member.role == ENDPOINT
        ]

    async def drain(self, vm: str, operator_name: str) -> None:
        """Tell an endpoint to accept no new calls."""
        member = self._runtime.gossip.members.get(vm)
        if member is None or member.role != ENDPOINT:
            raise Refusal('unknown-vm', f'{vm} is no endpoint known here')
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                await self._drain(member, operator_name)
        except (WireError, TimeoutError) as exc:
            raise Refusal('drain-not-known', f'{vm}: {exc}') from exc

    async def _drain(self, member: Member, operator_name: str) -> None:
        stream = await self._runtime.dialler.dial((member.host, member.port))
        try:
            order = DrainOrder(operator_name=operator_name)
            await stream.write(FrameKind.DRAIN, codec.encode(order))
            await stream.read()
        finally:
            stream.close()

    def _members(self) -> list[Member]:
        return list(self._runtime.gossip.members.values())

    async def _propose(self, proposal: Proposal) -> Answer:
        faults = list(rules.validation_errors(proposal.deployment))
        if faults:
            raise Refusal('bad-deployment', '; '.join(faults))
        if not proposal.operation_id or not proposal.operator_name:
            raise Refusal(
                'bad-request', 'operation_id and operator_name must be given'
            )
        return await self._changes.propose(proposal)


def _count(members: list[Member], role: str) -> int:
    return sum(1 for one in members if one.role == role and accepts_work(one))


def _endpoint_status(member: Member) -> EndpointStatus:
    return EndpointStatus(
        vm=member.vm,
        availability_zone=member.availability_zone,
        address=f'{member.host}:{member.port}',
        kind=member.kind,
        serving=member.serving,
        state=Health(member.status).name.lower(),
        in_flight=0,
        chunks_held=member.held,
        chunks_wanted=member.total,
    )


class _Connection:
    """A connection of an operator, and what it is used for."""

    __slots__ = ('_stream', 'stage')

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self.stage = Stage.IDLE

    def close(self) -> None:
        """Close it."""
        self._stream.close()


class OperatorServer(BoundedServer):
    """Serve framed Thrift calls by the methods of the same names."""

    def __init__(
        self,
        calls: OperatorCalls,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Serve these calls; without a context, don't use TLS."""
        super().__init__(ssl_options=context, max_buffer_size=_MAX_CALL)
        self.limit = ConnectionLimit('operators', _MAX_CONNECTIONS)
        self._calls = calls

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection, one call after another."""
        conn = _Connection(stream)
        self.limit.add(conn)
        try:
            operator = await _authenticate(stream)
            while True:
                await self._serve_one(stream, operator, conn)
        except StreamClosedError:
            return
        except _CALL_ERRORS as exc:
            log(Event.FRAME_REFUSED, source=str(address), detail=str(exc))
        finally:
            self.limit.discard(conn)
            stream.close()

    async def _serve_one(
        self, stream: IOStream, operator: Operator, conn: _Connection
    ) -> None:
        conn.stage = Stage.IDLE
        head = await stream.read_bytes(_LENGTH_BYTES)
        conn.stage = Stage.REQUEST
        length = int.from_bytes(head, 'big')
        if length > _MAX_CALL:
            raise WireError('call-too-large', f'{length} bytes')
        payload = await stream.read_bytes(length)
        conn.stage = Stage.BUSY
        self.limit.note_used(conn)
        reply = await self._answer(payload, operator)
        await stream.write(len(reply).to_bytes(_LENGTH_BYTES, 'big') + reply)

    async def _answer(self, payload: bytes, operator: Operator) -> bytes:
        protocol = _factory.getProtocol(TMemoryBuffer(payload))
        name, _, sequence = protocol.readMessageBegin()
        args_class = getattr(Operators, f'{name}_args', None)
        method = getattr(self._calls, name, None)
        if args_class is None or method is None:
            problem = TApplicationException(
                TApplicationException.UNKNOWN_METHOD,
                name,
            )
            return _message(name, TMessageType.EXCEPTION, sequence, problem)
        args = args_class()
        args.read(protocol)
        if operator.name and 'operator_name' in args.__slots__:
            # The name in the certificate replaces the one in the call.
            args.operator_name = operator.name
        return _message(
            name,
            TMessageType.REPLY,
            sequence,
            await _result(name, method, args, operator.role),
        )


async def _result(
    name: str,
    method: Callable[..., Awaitable[Any]],
    args: Any,
    role: str,
) -> Any:
    result = getattr(Operators, f'{name}_result')()
    fields = [getattr(args, field) for field in args.__slots__]
    try:
        check_role(name, role)
        answer = await method(*fields)
    except Refusal as exc:
        log(Event.OPERATOR_REFUSED, call=name, code=exc.code)
        result.refusal = exc
        return result
    if 'success' in result.__slots__:
        result.success = answer
    return result


def check_role(name: str, role: str) -> None:
    """Raise Refusal for a call that the role does not permit."""
    if role == OPERATE or (role == READ and name in _READ_CALLS):
        return
    raise Refusal('not-permitted', f'{name}: found role {role!r}')


async def _authenticate(stream: IOStream) -> Operator:
    if not isinstance(stream, SSLIOStream):
        return Operator('', OPERATE)
    await stream.wait_for_handshake()
    return operator_of(stream.socket.getpeercert())


def _message(name: str, kind: int, sequence: int, struct: Any) -> bytes:
    transport = TMemoryBuffer()
    protocol = _factory.getProtocol(transport)
    protocol.writeMessageBegin(name, kind, sequence)
    struct.write(protocol)
    protocol.writeMessageEnd()
    return bytes(transport.getvalue())
