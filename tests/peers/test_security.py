"""Tests of how instances recognise each other."""

import testtools
import trustme

from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.peers import client
from balsamhinge.peers import security
from balsamhinge.peers import server
from balsamhinge.policy import homes
from tests.support import real

SECRET = "the secret of this fleet"
SIGHT_S = 5.0


class CoreFake:
    """Answers the one call that the tests make."""

    def sight(self, group):
        return links.Sight(group, 7, 0.5)


def make_security(authority, secret=SECRET):
    """Return credentials that an authority vouches for."""
    issued = authority.issue_cert(real.HOST)
    return security.PeerSecurity(
        secret,
        issued.cert_chain_pems[0].bytes(),
        issued.private_key_pem.bytes(),
        authority.cert_pem.bytes(),
    )


async def call(served, calling):
    """Call a server that has some credentials with others."""
    address = f"{real.HOST}:{real.free_port()}"
    running = server.PeerServer(CoreFake(), served)
    await running.start(address)
    peers = client.GrpcPeers(calling)
    member = homes.Member("other", address, "here")
    try:
        return await peers.sight(member, "g", SIGHT_S)
    finally:
        await peers.close()
        await running.stop(0.0)


class PeerSecurityTest(testtools.TestCase):
    """Only instances of the same fleet are answered."""

    def setUp(self):
        super().setUp()
        self.authority = trustme.CA()

    def assert_refused(self, served, calling):
        self.assertRaises(
            exceptions.PeerUnavailable, real.run_real, call(served, calling)
        )

    def test_same_authority_and_secret(self):
        ours = make_security(self.authority)
        other = make_security(self.authority)
        sight = real.run_real(call(ours, other))
        self.assertEqual(links.Sight("g", 7, 0.5), sight)

    def test_without_tls_by_choice(self):
        plain = security.PeerSecurity(SECRET)
        self.assertEqual(7, real.run_real(call(plain, plain)).term)

    def test_wrong_secret(self):
        ours = make_security(self.authority)
        other = make_security(self.authority, "another secret altogether")
        self.assert_refused(ours, other)

    def test_certificate_of_another_authority(self):
        ours = make_security(self.authority)
        self.assert_refused(ours, make_security(trustme.CA()))

    def test_no_certificate(self):
        ours = make_security(self.authority)
        self.assert_refused(ours, security.PeerSecurity(SECRET))
