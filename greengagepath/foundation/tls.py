"""TLS contexts of the control links, with mutual authentication.

Members are reached at IP addresses that change with each VM, so host
names are not checked. A peer is authenticated by the authority of its
certificate, which must sign for this deployment only.
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
    """Contexts of one process, replaced when its files are reloaded.

    `server` may be kept for the life of a listening socket: each new
    connection uses the files loaded last. `client` must be read for
    each new connection. Open connections are not changed.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Read the files; raise OSError, ssl.SSLError included, on failure.

        `load_tls` returns the problems instead.
        """
        self._settings = settings
        self._latest_server = _create_server_context(settings)
        self.client = _create_client_context(settings)
        self.server = _create_server_context(settings)
        self.server.sni_callback = self._use_latest
        self._file_states = _read_file_states(settings)

    def reload(self) -> bool:
        """Load the files again and return whether this succeeded.

        After a failure, which is logged, the earlier files stay in use.
        """
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
        file_states = _read_file_states(self._settings)
        if file_states == self._file_states:
            return False
        self._file_states = file_states
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
    """Return the contexts, or the problem with the files."""
    try:
        return Ok(TlsContexts(settings))
    except OSError as load_error:
        return Err([_describe_problem(settings, load_error)])


def describe_tls_error(failure: ssl.SSLError) -> str:
    """Return the reason of a failed handshake, for the log.

    Usual reasons are an unknown authority, an expired certificate
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


def _read_file_states(settings: TlsSettings) -> list[tuple[int, int]]:
    """Return modification time in ns and size of each file that exists."""
    file_states = []
    for name in (
        settings.certificate_file,
        settings.key_file,
        settings.authority_file,
    ):
        path = Path(name)
        if path.exists():
            status = path.stat()
            file_states.append((status.st_mtime_ns, status.st_size))
    return file_states
