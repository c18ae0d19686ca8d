"""Minimal object API over HTTP for tests."""

import json
from urllib.parse import parse_qs

import gevent
from gevent.pywsgi import WSGIServer

POLL_S = 0.02


class HttpStore:
    """Serves versioned objects from memory.

    The next `lose_answers` writes are handled but answered with status
    503, as if their answers had been lost.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.lose_answers = 0

    def serve(self, host, port):
        server = WSGIServer((host, port), self.answer, log=None)
        server.start()
        return server

    def answer(self, environ, start_response):
        status, content = self.handle(environ)
        if environ['REQUEST_METHOD'] == 'PUT' and self.lose_answers:
            self.lose_answers -= 1
            status, content = '503 Answer Lost', {}
        payload = b'' if status[:3] == '204' else json.dumps(content).encode()
        start_response(status, [('Content-Length', str(len(payload)))])
        return [payload]

    def handle(self, environ):
        _, _, kind, *name = environ['PATH_INFO'].split('/')
        if not name:
            return '200 OK', {
                key[1]: self.describe(key)
                for key in self.objects
                if key[0] == kind
            }
        key = (kind, name[0])
        if environ['REQUEST_METHOD'] == 'PUT':
            return self.write(key, environ)
        query = parse_qs(environ['QUERY_STRING'])
        if 'after' in query:
            return self.watch(key, query)
        if key not in self.objects:
            return '404 Not Found', {}
        return '200 OK', self.describe(key)

    def write(self, key, environ):
        body = json.loads(environ['wsgi.input'].read())
        expected = int(environ['HTTP_IF_MATCH'])
        if self.describe(key)['version'] != expected:
            return '412 Precondition Failed', self.describe(key)
        self.version += 1
        self.objects[key] = (self.version, body)
        return '200 OK', self.describe(key)

    def watch(self, key, query):
        after = int(query['after'][0])
        left_s = int(query['wait_ms'][0]) / 1000
        while self.describe(key)['version'] <= after and left_s > 0:
            gevent.sleep(POLL_S)
            left_s -= POLL_S
        if self.describe(key)['version'] <= after:
            return '204 No Content', {}
        return '200 OK', self.describe(key)

    def describe(self, key):
        version, body = self.objects.get(key, (0, {}))
        return {'version': version, 'body': body}
