"""Objects of another writer in the product's own object API."""

import random
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

from hypothesis import given
from result import Ok
from testtools import TestCase

from greengagepath.foundation.object_api import (
    HttpTransport,
    ObjectCall,
    ObjectClient,
    ObjectKind,
    StoredObject,
    Unreachable,
)
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.membership.configuration_watch import configuration_of
from greengagepath.membership.seeds import addresses_of

from ..platform.odd_values import ODD_JSON, odd_values

VALID = ['10.0.0.7', 4001]


class AnsweringServer:
    """Answers every call with the same bytes, in a thread of its own."""

    def __init__(self, body: bytes) -> None:
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(200)
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                """Write nothing."""

        self._server = HTTPServer(('127.0.0.1', 0), Handler)
        self.url = f'http://127.0.0.1:{self._server.server_port}'
        threading.Thread(target=self._server.handle_request).start()

    def stop(self) -> None:
        self._server.server_close()


class FixedTransport:
    """Answers every call with given content and status 200."""

    def __init__(self, answer) -> None:
        self._answer = answer

    def send(self, _, on_answer) -> None:
        on_answer(self._answer)


class OddObjectsTest(TestCase):
    def fetch(self, odd_json):
        body = f'{{"version":3,"body":{odd_json}}}'.encode()
        server = AnsweringServer(body)
        self.addCleanup(server.stop)
        return HttpTransport(server.url, 2).call(ObjectCall('/objects/x/y'))

    def test_any_value_gives_an_answer(self):
        # Guards against a greenlet that ends without an outcome, so that
        # the watch on the configuration is never repeated.
        for odd_json in ODD_JSON:
            answer = self.fetch(odd_json)
            self.assertEqual(3, answer.unwrap().content['version'], odd_json)

    def test_invalid_version_is_an_error(self):
        # Guards against an exception that leaves a lease or a watch
        # pending for good.
        for odd in ('x', None, -1, 1e400, 10**400, [], True):
            answer = self.fetch('{}').unwrap()
            answer.content['version'] = odd
            outcomes = []
            timers = VirtualTimerService()
            store = ObjectClient(
                FixedTransport(Ok(answer)), timers, random.Random(1)
            )
            store.read(ObjectKind.LEASE, 'a', outcomes.append)
            store.write(
                ObjectKind.LEASE, 'a', StoredObject(1, {}), outcomes.append
            )
            timers.advance(10)
            kinds = {type(found.unwrap_err()) for found in outcomes}
            self.assertEqual({Unreachable}, kinds, odd)
            self.assertEqual(2, len(outcomes))

    def test_unusable_seed_addresses_are_left_out(self):
        # Guards against links that fail by an exception, or a zone
        # without seeds, because one address has no valid port.
        for odd in (
            ['10.0.0.8', 0],
            ['10.0.0.8', 70000],
            ['10.0.0.8', -1],
            ['10.0.0.8', 10**400],
            ['10.0.0.8\0', 4001],
            ['x' * 70, 4001],
            ['10.0.0.8'],
            [[]],
            None,
        ):
            body = {'addresses': [odd, VALID], 'fencing_token': 1}
            self.assertEqual([('10.0.0.7', 4001)], addresses_of(body), odd)

    @given(odd_values())
    def test_any_object_gives_a_result(self, odd):
        # Guards against an exception for an object of another writer.
        addresses_of(odd)
        addresses_of({'addresses': odd})
        configuration_of(StoredObject(1, odd))
        configuration_of(StoredObject(1, {'services': odd, 'version': odd}))
