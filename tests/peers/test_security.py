"""Tests of the authentication between instances."""

import testtools
import trustme

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.peers import client
from balsamhinge.peers import security
from balsamhinge.peers import server
from balsamhinge.policy import ownership
from tests.support import real

SECRET = "the secret of this fleet"
CALL_TIMEOUT_S = 5.0


class CoreFake:
    """Stub controllers that answer the call made by the tests."""

    def observe_primary(self, group):
        return interfaces.PrimaryObservation(group, 7, 0.5)


def make_security(authority, secret=SECRET):
    """Return credentials with a certificate issued by `authority`."""
    issued = authority.issue_cert(real.HOST)
    return security.PeerSecurity(
        secret,
        issued.cert_chain_pems[0].bytes(),
        issued.private_key_pem.bytes(),
        authority.cert_pem.bytes(),
    )


async def call(server_security, client_security):
    """Make a call between a client and a server with their credentials."""
    address = f"{real.HOST}:{real.free_port()}"
    running = server.PeerServer(CoreFake(), server_security)
    await running.start(address)
    peers = client.GrpcPeerClient(client_security)
    member = ownership.Member("other", address, "here")
    try:
        return await peers.observe_primary(member, "g", CALL_TIMEOUT_S)
    finally:
        await peers.close()
        await running.stop(0.0)


class PeerSecurityTest(testtools.TestCase):
    """Only calls of instances of the same fleet are accepted."""

    def setUp(self):
        super().setUp()
        self.authority = trustme.CA()

    def assert_refused(self, server_security, client_security):
        self.assertRaises(
            exceptions.PeerUnavailable,
            real.run_real,
            call(server_security, client_security),
        )

    def test_same_authority_and_secret_are_accepted(self):
        ours = make_security(self.authority)
        other = make_security(self.authority)
        observation = real.run_real(call(ours, other))
        self.assertEqual(
            interfaces.PrimaryObservation("g", 7, 0.5), observation
        )

    def test_same_secret_without_tls_is_accepted(self):
        plain = security.PeerSecurity(SECRET)
        self.assertEqual(7, real.run_real(call(plain, plain)).term)

    def test_wrong_secret_is_refused(self):
        ours = make_security(self.authority)
        other = make_security(self.authority, "another secret altogether")
        self.assert_refused(ours, other)

    def test_certificate_of_another_authority_is_refused(self):
        ours = make_security(self.authority)
        self.assert_refused(ours, make_security(trustme.CA()))

    def test_missing_certificate_is_refused(self):
        ours = make_security(self.authority)
        self.assert_refused(ours, security.PeerSecurity(SECRET))
