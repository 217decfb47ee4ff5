"""Credentials between instances: TLS and a shared secret."""

import hmac

import attrs
import grpc

__all__ = ["PeerSecurity", "SECRET_HEADER"]

SECRET_HEADER = "balsamhinge-secret"


@attrs.frozen
class PeerSecurity:
    """How instances recognise each other.

    Parameters
    ----------
    secret : str
        Sent with each call.
    certificate, key, authority : bytes
        PEM texts; all empty for calls without TLS.
    """

    secret: str
    certificate: bytes = b""
    key: bytes = b""
    authority: bytes = b""

    @property
    def metadata(self):
        """Return what is sent with each call."""
        return ((SECRET_HEADER, self.secret),)

    def accepts(self, metadata):
        """Return whether a call's metadata hold the secret."""
        given = dict(metadata or ()).get(SECRET_HEADER, "")
        return hmac.compare_digest(given.encode(), self.secret.encode())

    def open_channel(self, address, options):
        """Return a channel to another instance."""
        if not self.certificate:
            return grpc.aio.insecure_channel(address, options)
        credentials = grpc.ssl_channel_credentials(
            self.authority, self.key, self.certificate
        )
        return grpc.aio.secure_channel(address, credentials, options)

    def listen(self, server, address):
        """Bind a server to its address; return the port, 0 on failure."""
        if not self.certificate:
            return server.add_insecure_port(address)
        credentials = grpc.ssl_server_credentials(
            [(self.key, self.certificate)],
            self.authority,
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)
