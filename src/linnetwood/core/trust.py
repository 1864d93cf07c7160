"""Who is believed: certificates on connections, a seal on datagrams."""

import dataclasses
import hashlib
import hmac
import pathlib
import ssl
from typing import Any, Protocol

from linnetwood.core.errors import SettingsError
from linnetwood.core.options import Trust

READ = 'read'
OPERATE = 'operate'
_SEAL_BYTES = 16
_KEY_MOST = 64
_KEY_LEAST = 16
_KEYS_KEPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Who makes an operator's call, and what that one may do.

    The name is empty in plain mode, where the caller names itself.
    """

    name: str
    role: str


class Seal(Protocol):
    """Mark datagrams as ours."""

    def close(self, datagram: bytes) -> bytes:
        """Give the datagram with its seal."""

    def open(self, sealed: bytes) -> bytes | None:
        """Give the datagram, or None when the seal is wrong."""


class NoSeal:
    """Believe every datagram: plain mode."""

    def close(self, datagram: bytes) -> bytes:
        """Add nothing."""
        return datagram

    def open(self, sealed: bytes) -> bytes | None:
        """Take what came."""
        return sealed


class KeyedSeal:
    """Seal with the newest key and open with it or the one before."""

    def __init__(self) -> None:
        """Know no key yet."""
        self._keys: list[bytes] = []

    def add(self, key: bytes) -> None:
        """Seal with this key from now on."""
        if key not in self._keys[:1]:
            self._keys = [key, *self._keys][:_KEYS_KEPT]

    def close(self, datagram: bytes) -> bytes:
        """Put the seal before the datagram."""
        return _seal(datagram, self._keys[0]) + datagram

    def open(self, sealed: bytes) -> bytes | None:
        """Check the seal against the keys in force."""
        seal = sealed[:_SEAL_BYTES]
        datagram = sealed[_SEAL_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(seal, _seal(datagram, key)):
                return datagram
        return None


def _seal(datagram: bytes, key: bytes) -> bytes:
    hashed = hashlib.blake2b(datagram, key=key, digest_size=_SEAL_BYTES)
    return hashed.digest()


class Keys:
    """Hold the contexts of a process; reading them again rotates them."""

    def __init__(self, cfg: Trust) -> None:
        """Read the files; raise SettingsError when one is no good."""
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self.seal: Seal = NoSeal()
        self._cfg = cfg
        self._keyed = KeyedSeal()
        if cfg.mode == 'tls':
            self.server = _context(ssl.PROTOCOL_TLS_SERVER)
            self.client = _context(ssl.PROTOCOL_TLS_CLIENT)
            self.seal = self._keyed
        self.reload()

    def reload(self) -> None:
        """Read the files again: new connections use what they say now.

        An authority that was trusted stays trusted until the process restarts,
        and the gossip key before the newest is still believed.
        """
        for context in (self.server, self.client):
            if context is not None:
                _load(context, self._cfg)
        if self._cfg.mode == 'tls':
            self._keyed.add(_read_key(self._cfg.gossip_key_file))


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Processes know each other by IP number; the authority vouches for them.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _load(context: ssl.SSLContext, cfg: Trust) -> None:
    try:
        context.load_cert_chain(cfg.certificate_file, cfg.key_file)
        context.load_verify_locations(cfg.authority_file)
    except (OSError, ssl.SSLError) as exc:
        names = f'{cfg.certificate_file}, {cfg.key_file}, {cfg.authority_file}'
        raise SettingsError('bad-certificate', f'{names}: {exc}') from exc


def _read_key(path: str) -> bytes:
    try:
        key = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError('bad-gossip-key', f'{path}: {exc}') from exc
    if not _KEY_LEAST <= len(key) <= _KEY_MOST:
        raise SettingsError(
            'bad-gossip-key',
            f'{path}: found {len(key)} bytes, '
            f'allowed is {_KEY_LEAST} to {_KEY_MOST}',
        )
    return key


def operator_of(certificate: Any) -> Operator:
    """Read name and role from a certificate's CN and OU."""
    parts = {
        name: text
        for entry in certificate.get('subject', ())
        for name, text in entry
    }
    role = parts.get('organizationalUnitName', '')
    return Operator(parts.get('commonName', ''), role)


def client_context(folder: str) -> ssl.SSLContext:
    """Give the command line's context from cert.pem, key.pem and ca.pem."""
    place = pathlib.Path(folder)
    context = _context(ssl.PROTOCOL_TLS_CLIENT)
    cfg = Trust(
        mode='tls',
        certificate_file=str(place / 'cert.pem'),
        key_file=str(place / 'key.pem'),
        authority_file=str(place / 'ca.pem'),
    )
    _load(context, cfg)
    return context
