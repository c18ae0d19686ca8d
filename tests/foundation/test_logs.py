import io
import json
import logging

from testtools import TestCase

from greengagepath.foundation.logs import (
    EventRateLimit,
    configure_logs,
    log_event,
)
from greengagepath.generated.settings import LogSettings

LOGGER = logging.getLogger('greengagepath.tests')


class LogsTest(TestCase):
    def configure(self, **fields):
        stream = io.StringIO()
        configure_logs(LogSettings(**fields), 'agent', 'a1', stream)
        return stream

    def test_ids_are_hexadecimal_in_every_role(self):
        # Guards against roles that write the same id in different forms, so
        # that one search does not find it in all logs.
        stream = self.configure()
        log_event(LOGGER, 'flow.opened', flow_id=10, request_id=b'\x01' * 16)
        event = json.loads(stream.getvalue())
        self.assertEqual('000000000000000a', event['flow_id'])
        self.assertEqual('01' * 16, event['request_id'])
        self.assertEqual(
            ('flow.opened', 'agent', 'a1', 'info'),
            tuple(
                event[name] for name in ('event', 'role', 'member_id', 'level')
            ),
        )

    def test_text_quotes_values_with_spaces(self):
        # Guards against a value with spaces that runs into the next field.
        stream = self.configure(style='text')
        log_event(LOGGER, 'link.closed', reason='wrong tag', peer='b2')
        self.assertIn(
            'info agent/a1 link.closed reason="wrong tag" peer=b2',
            stream.getvalue(),
        )

    def test_repeating_events_are_limited_and_counted(self):
        # Guards against a flood of packets that fills the log with one event.
        now_s = 0.0
        limit = EventRateLimit(2, lambda: now_s)
        records = [
            logging.makeLogRecord(
                {'msg': 'drop', 'repeats': True, 'fields': {}}
            )
            for _ in range(6)
        ]
        passed = [limit.filter(record) for record in records[:5]]
        self.assertEqual([True, True, False, False, False], passed)
        now_s = 1.0
        self.assertTrue(limit.filter(records[5]))
        self.assertEqual({'suppressed': 3}, records[5].fields)

    def test_events_not_marked_as_repeating_are_not_limited(self):
        # Guards against a rate limit that also drops rare events.
        stream = self.configure(repeats_per_s=1)
        for _ in range(20):
            log_event(LOGGER, 'configuration.applied', version=1)
        self.assertEqual(20, len(stream.getvalue().splitlines()))
