"""Authentication between instances: mutual TLS and a shared secret."""

import hmac

import attrs
import grpc

__all__ = ["PeerSecurity", "SECRET_HEADER"]

SECRET_HEADER = "balsamhinge-secret"


@attrs.frozen
class PeerSecurity:
    """Credentials of one instance for calls between instances.

    Parameters
    ----------
    secret : str
        Shared secret of the fleet, sent in the metadata of each call.
    certificate, key, authority : bytes
        PEM data of the instance's certificate and private key, and of
        the certificate authority; all empty to disable TLS.
    """

    secret: str
    certificate: bytes = b""
    key: bytes = b""
    authority: bytes = b""

    @property
    def metadata(self):
        """Return the gRPC metadata that authenticates a call."""
        return ((SECRET_HEADER, self.secret),)

    def accepts(self, metadata):
        """Return whether the metadata of a call contain the secret."""
        given = dict(metadata or ()).get(SECRET_HEADER, "")
        return hmac.compare_digest(given.encode(), self.secret.encode())

    def open_channel(self, address, options):
        """Return a gRPC channel to another instance."""
        if not self.certificate:
            return grpc.aio.insecure_channel(address, options)
        credentials = grpc.ssl_channel_credentials(
            self.authority, self.key, self.certificate
        )
        return grpc.aio.secure_channel(address, credentials, options)

    def listen(self, server, address):
        """Bind a gRPC server to `address`; return the port, 0 on failure."""
        if not self.certificate:
            return server.add_insecure_port(address)
        credentials = grpc.ssl_server_credentials(
            [(self.key, self.certificate)],
            self.authority,
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)
