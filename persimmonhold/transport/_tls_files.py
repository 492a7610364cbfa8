"""Certificate files of mutual TLS, reloaded when they change."""

from pathlib import Path
from typing import final

import pynng

from persimmonhold.settings import TlsSettings


@final
class TlsFiles:
    """Certificate, key and authorities of this VM.

    A peer is accepted if an authority signed its certificate. In addition,
    the certificate of a VM that this one connects to must contain the VM's
    name as a DNS name.
    """

    __slots__ = ('_loaded_mtimes_ns', '_pem_texts', '_settings')

    def __init__(self, settings: TlsSettings) -> None:
        """Read the files; raises `OSError` if one cannot be read."""
        self._settings = settings
        self._pem_texts = self._read()
        self._loaded_mtimes_ns = self._read_mtimes_ns()

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether they did.

        Files that cannot be read or do not fit together are ignored: they
        may be just being replaced, and the next call reads them again.
        """
        try:
            mtimes_ns = self._read_mtimes_ns()
            if mtimes_ns == self._loaded_mtimes_ns:
                return False
            texts = self._read()
        except OSError:
            return False
        if not _is_usable(texts):
            return False
        self._loaded_mtimes_ns = mtimes_ns
        is_changed = texts != self._pem_texts
        self._pem_texts = texts
        return is_changed

    def create_server_config(self) -> pynng.TLSConfig:
        """Return the TLS configuration of the listening socket."""
        return _create_config(
            pynng.TLSConfig.MODE_SERVER,
            self._pem_texts,
            None,
        )

    def create_client_config(self, peer: str) -> pynng.TLSConfig:
        """Return the TLS configuration of a connection to the VM `peer`."""
        return _create_config(
            pynng.TLSConfig.MODE_CLIENT,
            self._pem_texts,
            peer,
        )

    def _paths(self) -> tuple[Path, Path, Path]:
        settings = self._settings
        return (
            Path(settings.certificate),
            Path(settings.key),
            Path(settings.authority),
        )

    def _read(self) -> tuple[str, ...]:
        return tuple(path.read_text(encoding='ascii') for path in self._paths())

    def _read_mtimes_ns(self) -> tuple[int, ...]:
        return tuple(path.stat().st_mtime_ns for path in self._paths())


def _is_usable(texts: tuple[str, ...]) -> bool:
    """Tell whether pynng accepts the key together with the certificate."""
    try:
        _create_config(pynng.TLSConfig.MODE_SERVER, texts, None)
    except pynng.NNGException:
        return False
    return True


def _create_config(
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
