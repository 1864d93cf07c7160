"""Trust between processes: certificates, and signed datagrams."""

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
_MAC_BYTES = 16
_MAX_KEY_BYTES = 64
_MIN_KEY_BYTES = 16
_KEYS_KEPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """The operator who makes a call, and the role that limits the call.

    The name is empty in plain mode, where the caller states it itself.
    """

    name: str
    role: str


class DatagramSigner(Protocol):
    """Authenticate the datagrams between processes of one deployment."""

    def sign(self, datagram: bytes) -> bytes:
        """Return the datagram with its authentication code."""

    def verify(self, signed: bytes) -> bytes | None:
        """Return the datagram, or None if its code is wrong."""


class NoSigning:
    """Accept every datagram, in plain mode."""

    def sign(self, datagram: bytes) -> bytes:
        """Add no code."""
        return datagram

    def verify(self, signed: bytes) -> bytes | None:
        """Return what was received."""
        return signed


class KeyedSigner:
    """Sign with the newest key, and verify with it or the previous one."""

    def __init__(self) -> None:
        """Start without a key."""
        self._keys: list[bytes] = []

    def add(self, key: bytes) -> None:
        """Sign with this key from now on."""
        if key not in self._keys[:1]:
            self._keys = [key, *self._keys][:_KEYS_KEPT]

    def sign(self, datagram: bytes) -> bytes:
        """Return the authentication code, followed by the datagram."""
        return _mac(datagram, self._keys[0]) + datagram

    def verify(self, signed: bytes) -> bytes | None:
        """Check the code against the keys in force."""
        mac = signed[:_MAC_BYTES]
        datagram = signed[_MAC_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(mac, _mac(datagram, key)):
                return datagram
        return None


def _mac(datagram: bytes, key: bytes) -> bytes:
    hashed = hashlib.blake2b(datagram, key=key, digest_size=_MAC_BYTES)
    return hashed.digest()


class Credentials:
    """Hold the TLS contexts and keys of a process; a reload rotates them."""

    def __init__(self, cfg: Trust) -> None:
        """Read the files; raise SettingsError if one is invalid."""
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self.signer: DatagramSigner = NoSigning()
        self._cfg = cfg
        self._keyed = KeyedSigner()
        if cfg.mode == 'tls':
            self.server = _context(ssl.PROTOCOL_TLS_SERVER)
            self.client = _context(ssl.PROTOCOL_TLS_CLIENT)
            self.signer = self._keyed
        self.reload()

    def reload(self) -> None:
        """Read the files again, for new connections and datagrams.

        A trusted authority stays trusted until the process restarts, and the
        gossip key before the newest is still accepted.
        """
        for context in (self.server, self.client):
            if context is not None:
                _load(context, self._cfg)
        if self._cfg.mode == 'tls':
            self._keyed.add(_read_key(self._cfg.gossip_key_file))


def _context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Processes address each other by IP, so only the authority is checked.
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
    if not _MIN_KEY_BYTES <= len(key) <= _MAX_KEY_BYTES:
        raise SettingsError(
            'bad-gossip-key',
            f'{path}: found {len(key)} bytes, '
            f'allowed is {_MIN_KEY_BYTES} to {_MAX_KEY_BYTES}',
        )
    return key


def operator_of(certificate: Any) -> Operator:
    """Return the operator named by a certificate's CN, with OU as the role."""
    parts = {
        name: text
        for entry in certificate.get('subject', ())
        for name, text in entry
    }
    role = parts.get('organizationalUnitName', '')
    return Operator(parts.get('commonName', ''), role)


def client_context(folder: str) -> ssl.SSLContext:
    """Return the command line's context from cert.pem, key.pem and ca.pem."""
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
