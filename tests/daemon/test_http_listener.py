"""The HTTP listener: its limits, its port and its end."""

import sys
from unittest import mock

import gevent
from gevent import socket
from testtools import TestCase

from greengagepath.daemon import http_listener
from greengagepath.daemon.http_listener import HttpListener, HttpReply
from greengagepath.foundation.native_sockets import open_udp_socket

GET = b'GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n'
WAIT_S = 5.0


class HttpListenerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.listener = HttpListener(
            ('127.0.0.1', 0), lambda request: HttpReply(200, b'{}')
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def test_connection_beyond_the_limit_waits_for_another_to_end(self):
        # Guards against a listener that runs out of descriptors, or that
        # stops to accept for good once it has reached its limit.
        with mock.patch.object(http_listener, 'MAX_CONNECTIONS', 2):
            idle = [self._connect() for _ in range(2)]
            gevent.sleep(0.05)
            waiting = self._connect()
            waiting.sendall(GET)
            with gevent.Timeout(0.2, exception=False):
                self.fail(f'answered {waiting.recv(100)!r}')
            idle[0].close()
            with gevent.Timeout(WAIT_S):
                self.assertIn(b'200', waiting.recv(100))

    def test_taken_address_is_an_error_at_the_start(self):
        # Guards against a process that seems to run but cannot be asked.
        second = HttpListener(('127.0.0.1', self.listener.port), lambda _: None)
        self.assertRaises(OSError, second.start)

    def test_stop_ends_the_open_connections(self):
        # Guards against requests that are answered after the end.
        opened = self._connect()
        gevent.sleep(0.05)
        self.listener.stop()
        with gevent.Timeout(WAIT_S):
            self.assertEqual(b'', opened.recv(100))
        self.assertRaises(OSError, self._connect)

    def test_fault_of_accept_does_not_end_the_listener(self):
        # Guards against a listener that ends when the process has had no
        # descriptor left for a while.
        accept = socket.socket.accept
        errors = [OSError(24, 'too many open files')]

        def fail_once(listening):
            if errors:
                raise errors.pop()
            return accept(listening)

        with mock.patch.object(socket.socket, 'accept', fail_once):
            # Ends the call that waits since before the change.
            self._connect().close()
            opened = self._connect()
            opened.sendall(GET)
            with gevent.Timeout(WAIT_S):
                self.assertIn(b'200', opened.recv(100))
        self.assertEqual([], errors)

    def _connect(self) -> socket.socket:
        opened = socket.socket()
        self.addCleanup(opened.close)
        opened.connect(('127.0.0.1', self.listener.port))
        return opened


class NativeSocketTest(TestCase):
    def test_socket_is_native_in_a_patched_process(self):
        # Guards against packet loops that run gevent's code for each call.
        get_original = mock.Mock(return_value=mock.Mock())
        monkey = mock.Mock(get_original=get_original)
        with mock.patch.dict(sys.modules, {'gevent.monkey': monkey}):
            open_udp_socket()
        get_original.assert_called_once_with('socket', 'socket')
