"""TLS contexts of the control links; both sides show a certificate.

Members are reached by IP addresses that change with each VM, so the
authority, which signs for this system only, is what authenticates a
peer, and host names are not compared.
"""

import logging
import ssl
from pathlib import Path

from result import Err, Ok, Result

from ..generated.settings import TlsSettings
from .logs import log_event
from .validation import SettingProblem

_logger = logging.getLogger(__name__)


class TlsContexts:
    """Contexts of one process, replaced when its files change.

    `server` may be kept for the life of a listening socket: it hands
    each new connection to the latest files. `client` is to be read for
    each new connection. Connections that are open stay as they are.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Read the files; use `load_tls` to get problems as values."""
        self._settings = settings
        self._latest_server = _create_server_context(settings)
        self.client = _create_client_context(settings)
        self.server = _create_server_context(settings)
        self.server.sni_callback = self._use_latest
        self._stamps = _read_stamps(settings)

    def reload(self) -> bool:
        """Read the files again; return whether they are in force."""
        try:
            latest_server = _create_server_context(self._settings)
            client = _create_client_context(self._settings)
        except OSError as load_error:
            self._log_refusal(load_error)
            return False
        self._latest_server = latest_server
        self.client = client
        log_event(_logger, 'tls.reloaded')
        return True

    def has_changed(self) -> bool:
        """Return whether a file has changed since the last call."""
        stamps = _read_stamps(self._settings)
        if stamps == self._stamps:
            return False
        self._stamps = stamps
        return True

    def _use_latest(
        self, connection: ssl.SSLObject, _name: str | None, _context: object
    ) -> None:
        connection.context = self._latest_server

    def _log_refusal(self, load_error: OSError) -> None:
        log_event(
            _logger,
            'tls.refused',
            level=logging.ERROR,
            problem=str(load_error),
        )


def load_tls(
    settings: TlsSettings,
) -> Result[TlsContexts, list[SettingProblem]]:
    """Return the contexts, or what is wrong with the files."""
    try:
        return Ok(TlsContexts(settings))
    except OSError as load_error:
        return Err([_describe_problem(settings, load_error)])


def describe_tls_error(failure: ssl.SSLError) -> str:
    """Return the reason of a failed handshake for the log.

    The usual reasons are an unknown authority, an expired certificate
    and a peer without a certificate.
    """
    if isinstance(failure, ssl.SSLCertVerificationError):
        return failure.verify_message
    return failure.reason or str(failure)


def _create_server_context(settings: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return _load_files(context, settings)


def _create_client_context(settings: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load_files(context, settings)


def _load_files(
    context: ssl.SSLContext, settings: TlsSettings
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    context.load_verify_locations(settings.authority_file)
    return context


def _describe_problem(
    settings: TlsSettings, load_error: OSError
) -> SettingProblem:
    path = _find_bad_file(settings)
    return SettingProblem(
        path=path,
        line=0,
        key='tls',
        shown=str(load_error),
        allowed='PEM files of a certificate, its key and its authority',
    )


def _find_bad_file(settings: TlsSettings) -> str:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(settings.authority_file)
    except OSError:
        return settings.authority_file
    return f'{settings.certificate_file} or {settings.key_file}'


def _read_stamps(settings: TlsSettings) -> list[tuple[int, int]]:
    stamps = []
    for name in (
        settings.certificate_file,
        settings.key_file,
        settings.authority_file,
    ):
        path = Path(name)
        if path.exists():
            status = path.stat()
            stamps.append((status.st_mtime_ns, status.st_size))
    return stamps
