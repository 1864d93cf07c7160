"""HTTP handlers that an entry offers to callers."""

import json
import re
import secrets
from collections.abc import Iterable
from typing import Any, Protocol

from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler

from linnetwood.calls import keys
from linnetwood.calls.basehandler import BaseHandler, HandlerContext
from linnetwood.calls.callhandler import KEY_HEADER, CallHandler
from linnetwood.calls.dispatch import Call, mint_key
from linnetwood.calls.routing import EndpointQuery
from linnetwood.core.errors import CallError
from linnetwood.core.outcomes import Code, not_run
from linnetwood.core.sizes import MIB
from linnetwood.fleet.placement import ENGINE_KIND
from linnetwood.gen.schema.ttypes import Deployment, Service

MAX_BODY_BYTES = MIB
_MAX_KEYS = 100
_MAX_SHOWN_CHARS = 120
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_UNAVAILABLE_STATUS = 503
# The name may be encoded.
_SERVICE_PREFIX = re.compile('/services/[^/?]+')


class CompletionHandler(CallHandler):
    """Stream the answer of a model engine."""

    async def post(self) -> None:
        """Answer POST /v1/completions."""
        body = bytes(self.received)
        try:
            req = read_completion(body)
        except CallError as exc:
            self.refuse(not_run(Code.BAD_REQUEST, exc.detail))
            return
        call = Call(
            call_id=secrets.token_hex(8),
            query=EndpointQuery(ENGINE_KIND, model=req['model']),
            target=req['model'],
            method='POST',
            path='/generate',
            headers=(),
            body=body,
            deadline=self.deadline(),
            traceparent=self.request.headers.get('traceparent', ''),
        )
        await self.run_call(call)


class ServiceHandler(CallHandler):
    """Forward a call to a plain service."""

    async def handle(self, name: str) -> None:
        """Answer any method under /services/NAME/."""
        service = find_service(self.context.deployment, name)
        path = service_path(self.request)
        is_once = service is not None and runs_once(service, path)
        key = self.request.headers.get(KEY_HEADER, '')
        method = self.request.method or 'GET'
        try:
            query = service_want(name, key)
        except CallError as exc:
            self.refuse(not_run(Code.KEY_MALFORMED, exc.detail))
            return
        call = Call(
            call_id=secrets.token_hex(8),
            query=query,
            target=name,
            method=method,
            path=path,
            headers=tuple(header_lines(self.request)),
            body=bytes(self.received),
            deadline=self.deadline(),
            may_repeat=method in _SAFE_METHODS and not (is_once or key),
            at_most_once=is_once or bool(key),
            key=key,
            traceparent=self.request.headers.get('traceparent', ''),
        )
        await self.run_call(call)

    get = handle
    head = handle
    post = handle
    put = handle
    patch = handle
    delete = handle
    options = handle


class KeysHandler(BaseHandler):
    """Mint keys for calls that run at most once."""

    def post(self) -> None:
        """Answer POST /v1/keys?service=NAME&count=N."""
        name = self.get_argument('service', '')
        count = self.get_argument('count', '1')
        if not count.isdecimal() or not 1 <= float(count) <= _MAX_KEYS:
            found = count[:_MAX_SHOWN_CHARS]
            detail = f'count: found {found!r}, allowed is 1 to {_MAX_KEYS}'
            self.end_unanswered(not_run(Code.BAD_REQUEST, detail))
            return
        query = EndpointQuery(name)
        now = self.context.clock.now()
        member = self.context.routes.choose(query, (), now)
        if member is None:
            self.end_unanswered(not_run(Code.NO_ENDPOINT, name))
            return
        new_keys = [
            mint_key(member, secrets.token_hex(8)) for _ in range(int(count))
        ]
        self.finish({'keys': new_keys})


class HealthHandler(RequestHandler):
    """Tell the load balancer whether to send calls here."""

    def initialize(self, ready: 'Readiness') -> None:
        """Keep what tells whether the entry is ready."""
        self.ready = ready

    def get(self) -> None:
        """Answer 200 when ready, else 503 with the reason."""
        reason = self.ready.reason()
        if reason:
            self.set_status(_UNAVAILABLE_STATUS)
        self.finish({'ready': not reason, 'reason': reason})

    def data_received(self, chunk: bytes) -> None:
        """Ignore streamed bodies, which are not enabled."""


class Readiness(Protocol):
    """Determine why the entry should get no calls."""

    def reason(self) -> str:
        """Return the reason, or an empty text if the entry is ready."""


def application(context: HandlerContext, ready: Readiness) -> Application:
    """Build the tornado application that serves callers."""
    shared = {'context': context}
    return Application(
        [
            (r'/v1/completions', CompletionHandler, shared),
            (r'/v1/keys', KeysHandler, shared),
            (r'/services/([^/]+)(?:/.*)?', ServiceHandler, shared),
            (r'/readyz', HealthHandler, {'ready': ready}),
        ],
    )


def read_completion(body: bytes) -> dict[str, Any]:
    """Parse a completion request; raises CallError if it is malformed."""
    try:
        req = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise CallError(Code.BAD_REQUEST.value, f'body: {exc}') from exc
    if not isinstance(req, dict):
        raise CallError(Code.BAD_REQUEST.value, 'body: allowed is an object')
    for name in ('model', 'prompt'):
        if not isinstance(req.get(name), str):
            found = req.get(name)
            raise CallError(
                Code.BAD_REQUEST.value,
                f'{name}: found {found!r}, allowed is text',
            )
    _check_tokens(req.get('max_tokens', 1))
    return req


def _check_tokens(tokens: object) -> None:
    whole = isinstance(tokens, int) and not isinstance(tokens, bool)
    if not whole or int(str(tokens)) < 1:
        raise CallError(
            Code.BAD_REQUEST.value,
            f'max_tokens: found {tokens!r}, allowed is a whole number from 1',
        )


def service_want(name: str, key: str) -> EndpointQuery:
    """Return the target of a service call; a key names a single endpoint."""
    if not key:
        return EndpointQuery(name)
    parsed = keys.parse(key)
    return EndpointQuery(name, vm=parsed.vm, incarnation=parsed.incarnation)


def find_service(deployment: Deployment, name: str) -> Service | None:
    """Return the declaration of a service, or None."""
    for service in deployment.services:
        if service.name == name:
            return service
    return None


def runs_once(service: Service, path: str) -> bool:
    """Return whether calls to the path may run at most once."""
    return any(path.startswith(prefix) for prefix in service.once_paths)


def service_path(req: HTTPServerRequest) -> str:
    """Return the path and query as the service sees them."""
    match = _SERVICE_PREFIX.match(req.uri or '')
    path = match.string[match.end() :] if match else ''
    return path if path.startswith('/') else f'/{path}'


def header_lines(req: HTTPServerRequest) -> Iterable[str]:
    """Yield the request's headers as lines, including repeated ones."""
    for name, text in req.headers.get_all():
        yield f'{name}: {text}'
