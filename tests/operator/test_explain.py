"""`explain` joins the lines of one flow."""

import json

from testtools import TestCase

from greengagepath.output.flow_trace import collect_trace, find_verdict

FLOW = '100.64.0.4:1042>198.18.0.1:443'


def make_line(event: str, member_id: str, prefix: str = '', **fields) -> str:
    record = {
        'time': '2026-01-01T00:00:00+00:00',
        'event': event,
        'flow': FLOW,
        'member_id': member_id,
    }
    return prefix + json.dumps(record | fields)


class FlowTraceTest(TestCase):
    def test_lines_of_other_flows_and_noise_are_left_out(self):
        # Guards against a trace that mixes two callers.
        lines = [
            make_line('flow.routed', 'b1'),
            make_line('flow.routed', 'b1').replace('1042', '1043'),
            'not a log line',
            '{"broken": ',
        ]
        self.assertEqual(1, len(collect_trace('100.64.0.4:1042', lines)))

    def test_order_does_not_depend_on_the_time_of_day(self):
        # Guards against a VM whose clock jumped.
        lines = [
            make_line('flow.answered', 'a1', time='2020-01-01T00:00:00'),
            make_line('flow.offered', 'a1', hops=1),
            make_line('flow.routed', 'b1', time='2030-01-01T00:00:00'),
        ]
        events = [line.event for line in collect_trace(FLOW, lines)]
        self.assertEqual(
            ['flow.routed', 'flow.offered', 'flow.answered'], events
        )

    def test_clock_of_the_collector_goes_first(self):
        # Guards against a bench log whose order is known but not used.
        lines = [
            make_line('flow.refused', 'a1', prefix='   2.5000 side-1 '),
            make_line('flow.routed', 'b1', prefix='   2.4000 front-1 '),
        ]
        events = [line.event for line in collect_trace(FLOW, lines)]
        self.assertEqual(['flow.routed', 'flow.refused'], events)

    def test_verdict_names_refusal_and_target(self):
        # Guards against an on-call engineer who has to know the events.
        refused = collect_trace(
            FLOW, [make_line('flow.refused', 'a1', reason='too late')]
        )
        self.assertIn('too late', find_verdict(refused))
        answered = collect_trace(
            FLOW,
            [make_line('flow.answered', 'a1', target_id='i-1', duration_s=0.4)],
        )
        self.assertIn('0.4 s', find_verdict(answered))
