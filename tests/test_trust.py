"""Certificates, roles, signed datagrams and the rotation of keys."""

import dataclasses
import pathlib
import shutil
import tempfile
import unittest
from unittest import mock

from thrift.Thrift import TException

from linnetwood.core.errors import LinnetwoodError, SettingsError
from linnetwood.core.options import Trust
from linnetwood.core.trust import Credentials, KeyedSigner
from linnetwood.fleet.runtime import reload_keys
from linnetwood.gen.schema.ttypes import Deployment, Refusal, Verdict
from linnetwood.programs import cli, exits
from tests.rig import Rig, running
from tests.test_callers import GENERATE, body, expected

CERTS = pathlib.Path(__file__).parent / 'certs'


def trust(**changes: str) -> Trust:
    """Return valid settings for TLS."""
    good = Trust(
        mode='tls',
        certificate_file=str(CERTS / 'node.pem'),
        key_file=str(CERTS / 'node.key'),
        authority_file=str(CERTS / 'ca.pem'),
        gossip_key_file=str(CERTS / 'gossip.key'),
    )
    return dataclasses.replace(good, **changes)


class SigningTest(unittest.TestCase):
    """Datagrams without a valid code are rejected."""

    def test_signatures(self) -> None:
        """Only unchanged datagrams signed with a known key are accepted."""
        ours = KeyedSigner()
        ours.add(b'k' * 16)
        theirs = KeyedSigner()
        theirs.add(b'x' * 16)
        good = ours.sign(b'news')
        cases = (
            (good, b'news'),
            (theirs.sign(b'news'), None),
            (good[:-1] + b'!', None),
            (b'news', None),
            (b'', None),
        )
        for signed, expected_datagram in cases:
            with self.subTest(signed):
                self.assertEqual(ours.verify(signed), expected_datagram)

    def test_rotation(self) -> None:
        """The key before the newest is still accepted, an older one is not."""
        signer = KeyedSigner()
        signed = []
        for key in (b'1' * 16, b'2' * 16, b'3' * 16):
            signer.add(key)
            signed.append(signer.sign(b'news'))
        verified = [signer.verify(one) for one in signed]
        self.assertEqual(verified, [None, b'news', b'news'])


class KeysTest(unittest.TestCase):
    """Files are validated before they are used."""

    def test_refusals(self) -> None:
        """The error names a file that is missing or invalid."""
        cases = (
            (trust(certificate_file='/no/such'), 'bad-certificate.*/no/such'),
            (trust(key_file=str(CERTS / 'reader.key')), 'bad-certificate'),
            (trust(authority_file=str(CERTS / 'node.key')), 'bad-certificate'),
            (trust(gossip_key_file='/no/such'), 'bad-gossip-key'),
            (
                trust(gossip_key_file=str(CERTS / 'ca.pem')),
                'bad-gossip-key.*allowed is 16 to 64',
            ),
        )
        for cfg, message in cases:
            with (
                self.subTest(message),
                self.assertRaisesRegex(SettingsError, message),
            ):
                Credentials(cfg)

    def test_bad_reload_keeps_the_old(self) -> None:
        """A file that becomes invalid does not stop a running process."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'gossip.key')
            shutil.copy(CERTS / 'gossip.key', path)
            keys = Credentials(trust(gossip_key_file=str(path)))
            signed = keys.signer.sign(b'news')
            path.write_bytes(b'short')
            reload_keys(keys)
            self.assertEqual(keys.signer.verify(signed), b'news')
            shutil.copy(CERTS / 'gossip-next.key', path)
            reload_keys(keys)
            self.assertNotEqual(keys.signer.sign(b'news'), signed)
            self.assertEqual(keys.signer.verify(signed), b'news')


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """The whole path and the operators' roles under TLS."""

    def setUp(self) -> None:
        """Create a folder for each operator, as the command line expects it."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        for name in ('operator', 'reader', 'stranger'):
            place = pathlib.Path(self.folder.name, name)
            place.mkdir()
            shutil.copy(CERTS / f'{name}.pem', place / 'cert.pem')
            shutil.copy(CERTS / f'{name}.key', place / 'key.pem')
            shutil.copy(CERTS / 'ca.pem', place / 'ca.pem')

    def become(self, rig: Rig, name: str) -> None:
        """Make further calls with an operator's certificate."""
        rig.tls_folder = str(pathlib.Path(self.folder.name, name))

    @running
    async def test_whole_path(self, rig: Rig) -> None:
        """A rollout and a call go through under TLS."""
        rig.trust = trust()
        await rig.entry()
        await rig.engine()
        self.become(rig, 'operator')
        await rig.apply(1)
        reply = await rig.http(GENERATE, body('hello', 5))
        self.assertEqual(reply.body.decode(), expected('hello', 5))

    @running
    async def test_roles(self, rig: Rig) -> None:
        """A reader reads, an operator operates, each under its own name."""
        rig.trust = trust()
        await rig.entry()
        self.become(rig, 'operator')
        answer = await rig.operate(
            lambda calls: calls.apply(Deployment(), 0, 'op', 'somebody else'),
        )
        self.assertEqual(answer.verdict, Verdict.ACCEPTED)
        self.become(rig, 'reader')
        found = await rig.operate(lambda calls: calls.configuration())
        self.assertEqual(found.history[0].operator_name, 'asha')
        with self.assertRaises(Refusal) as caught:
            await rig.operate(
                lambda calls: calls.apply(Deployment(), 1, 'op-2', 'ravi'),
            )
        self.assertEqual(caught.exception.code, 'not-permitted')

    @running
    async def test_strangers(self, rig: Rig) -> None:
        """No certificate, or one of another authority, gets nothing."""
        rig.trust = trust()
        await rig.entry()
        for folder in ('', 'stranger'):
            if folder:
                self.become(rig, folder)
            with (
                self.subTest(folder),
                self.assertRaises((TException, LinnetwoodError, OSError)),
            ):
                await rig.operate(lambda calls: calls.status())

    @running
    async def test_plain_process_is_not_let_in(self, rig: Rig) -> None:
        """A process in plain mode joins no fleet that runs under TLS."""
        rig.trust = trust()
        entry = await rig.entry()
        rig.trust = Trust('plain')
        stranger = await rig.booking()
        rig.trust = trust()
        friend = await rig.booking()
        name = friend.runtime.gossip.own_record.vm
        await rig.until(lambda: name in entry.runtime.gossip.members)
        known = set(entry.runtime.gossip.members)
        self.assertNotIn(stranger.runtime.gossip.own_record.vm, known)

    async def test_command_line_names_a_bad_folder(self) -> None:
        """A folder without certificates is bad input."""
        with mock.patch.dict('os.environ', {cli.TLS_FOLDER: '/no'}):
            code = cli.run(['status', '--entry=127.0.0.1:9'])
        self.assertEqual(code, exits.EXIT_BAD_INPUT)


if __name__ == '__main__':
    unittest.main()
