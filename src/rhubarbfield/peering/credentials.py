"""Authentication between processes."""

from __future__ import annotations

import hmac
import ssl
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

AUTHORIZATION = "authorization"
SCHEME = "Bearer "


class Credentials(msgspec.Struct, frozen=True):
    """Shared secret of all processes, with TLS if certificates are configured.

    Attributes
    ----------
    secret
        Secret that every peer must present; never logged.
    certificate_file, key_file, authority_file
        PEM files with this instance's certificate, its key and the certificate
        of the authority that signed those of all peers; all three or none.
    """

    secret: str
    certificate_file: Path | None = None
    key_file: Path | None = None
    authority_file: Path | None = None

    def __repr__(self) -> str:
        """Return a representation without the secret."""
        return f"Credentials(certificate_file={self.certificate_file})"

    def make_metadata(self) -> dict[str, str]:
        """Return the metadata that presents the secret."""
        return {AUTHORIZATION: SCHEME + self.secret}

    def accepts(self, metadata: Mapping[str, Any] | None) -> bool:
        """Return whether ``metadata`` presents the secret."""
        presented = str((metadata or {}).get(AUTHORIZATION, ""))
        expected = SCHEME + self.secret
        return hmac.compare_digest(presented.encode(), expected.encode())

    def make_server_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of a server, or None without certificates."""
        if self.certificate_file is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        return self._load_certificates(context)

    def make_client_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of a client, or None without certificates."""
        if self.certificate_file is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Instances are addressed by IP addresses, which settings may change, so
        # only the signature of the fleet's authority is verified.
        context.check_hostname = False
        return self._load_certificates(context)

    def _load_certificates(self, context: ssl.SSLContext) -> ssl.SSLContext:
        assert self.certificate_file is not None
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        context.load_cert_chain(self.certificate_file, self.key_file)
        context.load_verify_locations(self.authority_file)
        return context
