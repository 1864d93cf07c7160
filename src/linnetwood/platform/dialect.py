"""The HTTP headers of the platform's callers and servers."""

import re
from http import HTTPStatus
from typing import Final

from linnetwood.calls.dialect import CallHead, OutgoingCall, Urgency, Verdict
from linnetwood.calls.notices import Notice
from linnetwood.calls.prioritylevels import LATE_LEVEL
from linnetwood.wire.curlrequest import Headers

_CALL_ID = 'x-attempt-id'
_WAIT_MS = 'x-deadline-ms'
_KEY = 'authorization'
_BEARER = 'bearer '
_MODEL = 'x-model'
# Tokens of the prompt, and the maximum number of generated tokens.
_TOKENS = 'x-token-counts'
# Parts of the prompt in order, as ID:TOKENS; the last one is the call's own.
_PARTS = 'x-prompt-prefix'
_RESUME_AFTER = 'last-event-id'
_ORGANISATION = 'x-tenant'
_ENDPOINT = 'x-expected-instance'
_VERSION = 'x-expected-version'
_SIGNATURE = 'x-server-signature'
_NOT_RUN = 'x-not-executed'
_WEIGHTS_VERSION = 'x-weight-versions'
# From 0, the highest, to 9; engines assume 5 where it is absent.
_PRIORITY = 'x-request-priority'
# Calls per second that an endpoint accepts from all entries together.
_LIMIT = 'server-limit'
# 1 if the endpoint leaves.
_LEAVING = 'server-leaving'
# Seconds for which an endpoint that refused a call wants none of this entry.
_PAUSE_S = 'retry-after'
_FLAGS = frozenset(('0', '1'))
_DECIMAL: Final = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
# Logged part of a value that can't be parsed.
_MAX_SHOWN_CHARS = 40
_MILLISECONDS = 1000
# Python can't convert numbers of any length.
_MAX_DIGITS = 15
# Headers of a single connection, and headers that the system sets itself.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
_SET_BY_SYSTEM = frozenset(
    (_WAIT_MS, _KEY, _ORGANISATION, _ENDPOINT, _VERSION, _PRIORITY),
)


class PlatformDialect:
    """Parse and build the platform's headers."""

    def __init__(self, *, reads_parts: bool = True) -> None:
        """Read the parts of prompts, or take prompts as without parts."""
        self._reads_parts = reads_parts

    def read(self, headers: Headers) -> CallHead:
        """Parse a caller's headers."""
        by_name = {name.lower(): text for name, text in headers}
        prompt = by_name.get(_TOKENS, '').partition(',')[0]
        return CallHead(
            call_id=by_name.get(_CALL_ID, ''),
            wait_s=_seconds(by_name.get(_WAIT_MS, '')),
            key=_bearer(by_name.get(_KEY, '')),
            model=by_name.get(_MODEL, ''),
            prompt=_integer(prompt),
            resume_after=by_name.get(_RESUME_AFTER, ''),
            shared_parts=_shared_parts(headers) if self._reads_parts else (),
        )

    def outgoing(self, headers: Headers, call: OutgoingCall) -> Headers:
        """Return the headers of an attempt."""
        resumes = bool(call.resume_after)
        dropped = _connection_headers(headers) | _SET_BY_SYSTEM
        sent = [
            (name, text)
            for name, text in headers
            if name.lower() not in dropped
            and not (resumes and name.lower() == _RESUME_AFTER)
        ]
        remaining_ms = max(1, int(call.remaining_s * _MILLISECONDS))
        sent.append(('X-Deadline-Ms', str(remaining_ms)))
        sent.append(('X-Expected-Instance', _as_header(call.endpoint)))
        if call.organisation:
            sent.append(('X-Tenant', _as_header(call.organisation)))
        if call.version:
            sent.append(('X-Expected-Version', str(call.version)))
        priority = call.priority
        if call.urgency is Urgency.LATE:
            priority = LATE_LEVEL
        if priority is not None:
            sent.append(('X-Request-Priority', str(priority)))
        if resumes:
            sent.append(('Last-Event-Id', call.resume_after))
        return sent

    def verdict(self, status: int, headers: Headers, call_id: str) -> Verdict:
        """Classify an answer by its head."""
        by_name = {name.lower(): text for name, text in headers}
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return Verdict.MISDIRECTED
        if _NOT_RUN in by_name:
            return Verdict.NOT_RUN
        own = by_name.get(_CALL_ID, call_id) == call_id
        if not own or 'content-encoding' in by_name:
            return Verdict.FOREIGN
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Verdict.FAILED
        if _SIGNATURE not in by_name and status < HTTPStatus.MULTIPLE_CHOICES:
            return Verdict.FOREIGN
        return Verdict.ANSWER

    def notice(
        self,
        status: int,
        headers: Headers,
        call_id: str,
    ) -> Notice | None:
        """Return an endpoint's notice; None if another process answered."""
        verdict = self.verdict(status, headers, call_id)
        if verdict in {Verdict.FOREIGN, Verdict.MISDIRECTED}:
            return None
        limits, unread = _decimals(headers, _LIMIT)
        leaving = _texts(headers, _LEAVING)
        unread += [one for one in leaving if one not in _FLAGS]
        rests = [float()]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            rests, bad = _decimals(headers, _PAUSE_S)
            unread += bad
        return Notice(
            min(limits, default=None),
            '1' in leaving,
            max(rests, default=0),
            ', '.join(unread)[:_MAX_SHOWN_CHARS],
            complete=verdict is Verdict.ANSWER,
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer to forward to the caller."""
        dropped = _connection_headers(headers)
        return [one for one in headers if one[0].lower() not in dropped]

    def version(self, headers: Headers) -> int:
        """Return the version of the weights that answered; 0 if unknown."""
        for name, text in headers:
            if name.lower() == _WEIGHTS_VERSION:
                return _integer(text)
        return 0


def _connection_headers(headers: Headers) -> frozenset[str]:
    named = {
        one.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for one in text.split(',')
    }
    return _CONNECTION_HEADERS | named


def _texts(headers: Headers, wanted: str) -> list[str]:
    """Return the values of all headers with a name."""
    return [
        one.strip()
        for name, text in headers
        if name.lower() == wanted
        for one in text.split(',')
    ]


def _decimals(headers: Headers, wanted: str) -> tuple[list[float], list[str]]:
    """Return the numbers in all headers with a name, and other values."""
    texts = _texts(headers, wanted)
    found = [float(one) for one in texts if _DECIMAL.fullmatch(one)]
    unread = [one for one in texts if not _DECIMAL.fullmatch(one)]
    return found, unread


def _shared_parts(headers: Headers) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which no other call has."""
    ids = [one.partition(':')[0].strip() for one in _texts(headers, _PARTS)]
    return tuple(filter(None, ids[:-1]))


def _integer(text: str) -> int:
    trimmed = text.strip()
    return _capped(trimmed) if trimmed.isdecimal() else 0


def _seconds(text: str) -> float | None:
    trimmed = text.strip()
    return _capped(trimmed) / _MILLISECONDS if trimmed.isdecimal() else None


def _capped(digits: str) -> int:
    """Return a number; one with more digits than any real value is cut."""
    significant = digits.lstrip('0') or '0'
    if len(significant) > _MAX_DIGITS:
        return int('9' * _MAX_DIGITS)
    return int(significant)


def _bearer(text: str) -> str:
    if text[: len(_BEARER)].lower() != _BEARER:
        return ''
    key = text[len(_BEARER) :].strip()
    try:
        # Headers are read as Latin-1; configured keys are Unicode.
        return key.encode('latin-1').decode()
    except UnicodeDecodeError:
        return key


def _as_header(text: str) -> str:
    """Return a configured text so that its UTF-8 is sent.

    Texts of headers stand for bytes, one character each.
    """
    return text.encode().decode('latin-1')
