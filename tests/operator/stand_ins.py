"""Stand-ins for the object API and a balancer, served on 127.0.0.1."""

import json
import os
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import urlsplit

from websockets.exceptions import ConnectionClosed
from websockets.sync.server import serve

from greengagepath.daemon.frames import NONCE_BYTES, FrameOpener, FrameSealer
from greengagepath.generated.messages import (
    ConfigurationDelta,
    ConfigurationOffer,
    LinkError,
    StatusReply,
)

from .fakes import build_balancer


class ObjectApi:
    """Object API with the conditional updates of the platform's protocol.

    The next `lose_next` writes take effect, but their connections are
    closed without an answer. `before_write` is called once, before the
    next write, as if another operator were faster.
    """

    def __init__(self):
        self.objects = {}
        self.lose_next = 0
        self.writes = 0
        self.before_write = None
        handler = type('Handler', (_ObjectHandler,), {'api': self})
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
        self.url = f'http://127.0.0.1:{self._server.server_port}'
        threading.Thread(target=self._server.serve_forever).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class _ObjectHandler(BaseHTTPRequestHandler):
    api = None

    def do_GET(self):
        stored = self.api.objects.get(urlsplit(self.path).path)
        if stored is None:
            self._answer(404, {})
        else:
            self._answer(200, stored)

    def do_PUT(self):
        body = self.rfile.read(int(self.headers['Content-Length']))
        before_write = self.api.before_write
        self.api.before_write = None
        if before_write is not None:
            before_write()
        nothing = {'version': 0, 'body': {}}
        stored = self.api.objects.get(self.path, nothing)
        if stored['version'] != int(self.headers['If-Match']):
            self._answer(412, stored)
            return
        version = stored['version'] + 1
        content = {'version': version, 'body': json.loads(body)}
        self.api.objects[self.path] = content
        self.api.writes += 1
        if self.api.lose_next:
            self.api.lose_next -= 1
        else:
            self._answer(200, {'version': version})

    def log_message(self, *_arguments):
        """Print no access log into the test output."""

    def _answer(self, status, content):
        encoded = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)


class Balancer:
    """Answers status queries and applies deltas over a control link.

    With `is_stuck` it answers deltas but does not apply them. `targets`
    are further member records in the status replies.
    """

    def __init__(self, keys):
        self._keys = keys
        self.version = 0
        self.is_stuck = False
        self.targets = []
        self._server = serve(self._serve, '127.0.0.1', 0)
        self.address = self._server.socket.getsockname()
        threading.Thread(target=self._server.serve_forever).start()

    @property
    def name(self):
        return f'{self.address[0]}:{self.address[1]}'

    def close(self):
        self._server.shutdown()

    def _serve(self, connection):
        own_nonce = os.urandom(NONCE_BYTES)
        connection.send(own_nonce)
        sealer = FrameSealer(self._keys, connection.recv())
        opener = FrameOpener(self._keys, own_nonce)
        with suppress(ConnectionClosed):
            while True:
                opened = opener.open(connection.recv())
                if opened.is_err():
                    return
                connection.send(sealer.seal(self._answer(opened.unwrap())))

    def _answer(self, message):
        if isinstance(message, ConfigurationDelta):
            if not self.is_stuck:
                self.version = message.version
            return ConfigurationOffer(version=self.version)
        if hasattr(message, 'query_id'):
            own = build_balancer(self.address, self.version)
            return StatusReply(
                query_id=message.query_id,
                configuration_version=self.version,
                records=[own, *self.targets],
            )
        return LinkError(reason='unexpected message')
