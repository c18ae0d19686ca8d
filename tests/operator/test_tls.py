import contextlib
import ssl
import tempfile
from pathlib import Path

from testtools import TestCase

from greengagepath.foundation.tls import describe_tls_error, load_tls

from .builders import reload_changed
from .certificates import Authority


def shake_hands(server_context, client_context):
    """Run a handshake in memory; raises ssl.SSLError if refused."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    server = server_context.wrap_bio(to_server, to_client, server_side=True)
    client = client_context.wrap_bio(to_client, to_server)
    for _ in range(4):
        for side in (client, server):
            with contextlib.suppress(ssl.SSLWantReadError):
                side.do_handshake()
    return client.getpeercert(binary_form=True)


class TlsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.authority = Authority('system')
        self.settings = self.write('own', self.authority)
        self.contexts = load_tls(self.settings).unwrap()

    def write(self, name, authority, days=1):
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        return authority.write(folder, days)

    def test_members_of_one_authority_connect(self):
        # Guards against settings that refuse members of the same system.
        peer = load_tls(self.write('peer', self.authority)).unwrap()
        self.assertIsNotNone(shake_hands(self.contexts.server, peer.client))

    def test_client_without_certificate_is_refused(self):
        # Guards against links on which only the server authenticates.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(self.settings.authority_file)
        self.assertRaises(
            ssl.SSLError, shake_hands, self.contexts.server, context
        )

    def test_other_authority_is_refused(self):
        # Guards against control links to members of another system, whose
        # certificates are signed by another authority.
        peer = load_tls(self.write('peer', Authority('other'))).unwrap()
        failure = self.assertRaises(
            ssl.SSLError, shake_hands, self.contexts.server, peer.client
        )
        self.assertIn('certificate', describe_tls_error(failure))

    def test_expired_certificate_is_refused_with_its_reason(self):
        # Guards against a refusal whose log line does not name the expired
        # certificate as its reason.
        expired = self.write('peer', self.authority, days=-1)
        peer = load_tls(expired).unwrap()
        failure = self.assertRaises(
            ssl.SSLError, shake_hands, peer.server, self.contexts.client
        )
        self.assertEqual('certificate has expired', describe_tls_error(failure))

    def test_rotation_loads_new_files_without_a_new_server(self):
        # Guards against a certificate rotation that needs a restart: the
        # context that a running server holds must use the new files.
        kept_server = self.contexts.server
        other = Authority('next')
        peer = load_tls(self.write('peer', other)).unwrap()
        self.assertRaises(ssl.SSLError, shake_hands, kept_server, peer.client)
        self.write('own', other)
        self.assertTrue(reload_changed(self.contexts))
        self.assertIsNotNone(shake_hands(kept_server, peer.client))
        self.assertIsNotNone(shake_hands(peer.server, self.contexts.client))

    def test_bad_files_keep_the_contexts_in_force(self):
        # Guards against a half-written certificate file that replaces the
        # valid one, after which all handshakes fail.
        peer = load_tls(self.write('peer', self.authority)).unwrap()
        Path(self.settings.certificate_file).write_text('broken')
        self.assertFalse(reload_changed(self.contexts))
        self.assertIsNotNone(shake_hands(self.contexts.server, peer.client))
        problems = load_tls(self.settings).unwrap_err()
        self.assertIn('certificate_file', problems[0].path)
