"""The certificate files of mutual TLS, read again when they change."""

from pathlib import Path
from typing import final

import pynng

from persimmonhold.settings import TlsSettings


@final
class TlsFiles:
    """Certificate, key and authorities of this VM.

    A peer is accepted whose certificate an authority has signed; a VM that
    is connected to has to have its name among the DNS names of its
    certificate.
    """

    __slots__ = ('_read_at', '_settings', '_texts')

    def __init__(self, settings: TlsSettings) -> None:
        """Read the files; raises `OSError` where one cannot be read."""
        self._settings = settings
        self._texts = self._read()
        self._read_at = self._modified_at()

    def refresh(self) -> bool:
        """Read the files again if they changed; tell whether they did.

        A set of files that is being replaced is left for the next time.
        """
        try:
            modified_at = self._modified_at()
            if modified_at == self._read_at:
                return False
            texts = self._read()
        except OSError:
            return False
        if not _is_usable(texts):
            return False
        self._read_at = modified_at
        changed = texts != self._texts
        self._texts = texts
        return changed

    def server(self) -> pynng.TLSConfig:
        """Return the configuration of the listening side."""
        return _configure(pynng.TLSConfig.MODE_SERVER, self._texts, None)

    def client(self, peer: str) -> pynng.TLSConfig:
        """Return the configuration of a connection to the VM `peer`."""
        return _configure(pynng.TLSConfig.MODE_CLIENT, self._texts, peer)

    def _paths(self) -> tuple[Path, Path, Path]:
        settings = self._settings
        return (
            Path(settings.certificate),
            Path(settings.key),
            Path(settings.authority),
        )

    def _read(self) -> tuple[str, ...]:
        return tuple(path.read_text(encoding='ascii') for path in self._paths())

    def _modified_at(self) -> tuple[int, ...]:
        return tuple(path.stat().st_mtime_ns for path in self._paths())


def _is_usable(texts: tuple[str, ...]) -> bool:
    """Tell whether key and certificate belong together, as far as known."""
    try:
        _configure(pynng.TLSConfig.MODE_SERVER, texts, None)
    except pynng.NNGException:
        return False
    return True


def _configure(
    mode: int,
    texts: tuple[str, ...],
    server_name: str | None,
) -> pynng.TLSConfig:
    certificate, key, authority = texts
    return pynng.TLSConfig(
        mode,
        server_name=server_name,
        ca_string=authority,
        own_key_string=key,
        own_cert_string=certificate,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
