from gevent import Timeout, socket
from testtools import TestCase

from greengagepath.daemon.http_status import StatusServer
from greengagepath.foundation.metrics import Metrics


class HttpStatusTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reasons = ['no configuration']
        self.metrics = Metrics()
        self.server = StatusServer(
            ('127.0.0.1', 0), self.metrics, lambda: self.reasons
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def fetch(self, path, method='GET'):
        with Timeout(10):
            address = ('127.0.0.1', self.server.port)
            connection = socket.create_connection(address)
            connection.sendall(f'{method} {path} HTTP/1.0\r\n\r\n'.encode())
            head, body = connection.makefile('rb').read().split(b'\r\n\r\n', 1)
            connection.close()
        return int(head.split()[1]), body.decode()

    def test_not_ready_while_a_reason_is_listed(self):
        # Guards against traffic sent to a balancer that has no configuration
        # yet.
        self.assertEqual((503, 'no configuration\n'), self.fetch('/readyz'))
        self.reasons = []
        self.assertEqual((200, 'ready\n'), self.fetch('/readyz'))

    def test_metrics_are_served(self):
        # Guards against metrics that are served only by the event loop of
        # the metrics library, which a daemon does not run.
        self.metrics.set_table_usage('links', 1, 500)
        status, body = self.fetch('/metrics')
        self.assertEqual(200, status)
        self.assertIn('greengagepath_table_entries{table="links"} 1', body)

    def test_health_unknown_paths_and_methods(self):
        # Guards against a health probe that takes an error page for success.
        self.assertEqual((200, 'ok\n'), self.fetch('/healthz'))
        self.assertEqual(404, self.fetch('/other')[0])
        self.assertEqual(405, self.fetch('/metrics', 'POST')[0])
