"""The section `[tls]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta


@final
class TlsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The paths of the PEM files of mutual TLS between the processes."""

    certificate: Annotated[
        str,
        Meta(description='Certificate chain of this VM.'),
    ] = ''
    key: Annotated[
        str,
        Meta(description='Private key of this VM.'),
    ] = ''
    authority: Annotated[
        str,
        Meta(description='Certificates of the trusted authorities.'),
    ] = ''

    @property
    def is_configured(self) -> bool:
        """Whether all three files are set, so that TLS is used."""
        return bool(self.certificate and self.key and self.authority)
