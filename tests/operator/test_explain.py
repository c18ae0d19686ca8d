"""Tests how `explain` selects and sorts the log lines of one flow."""

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
    def test_other_flows_and_lines_that_are_not_logs_are_skipped(self):
        # Guards against a trace with the flows of two callers, and against
        # an exception at a line that is not JSON.
        lines = [
            make_line('flow.routed', 'b1'),
            make_line('flow.routed', 'b1').replace('1042', '1043'),
            'not a log line',
            '{"broken": ',
        ]
        self.assertEqual(1, len(collect_trace('100.64.0.4:1042', lines)))

    def test_order_does_not_depend_on_the_time_in_the_records(self):
        # Guards against a wrong order if the clock of a VM has jumped.
        lines = [
            make_line('flow.answered', 'a1', time='2020-01-01T00:00:00'),
            make_line('flow.offered', 'a1', hops=1),
            make_line('flow.routed', 'b1', time='2030-01-01T00:00:00'),
        ]
        events = [line.event for line in collect_trace(FLOW, lines)]
        self.assertEqual(
            ['flow.routed', 'flow.offered', 'flow.answered'], events
        )

    def test_time_of_the_collector_decides_the_order(self):
        # Guards against ignoring the time that a bench puts before each
        # line, which is the real order.
        lines = [
            make_line('flow.refused', 'a1', prefix='   2.5000 side-1 '),
            make_line('flow.routed', 'b1', prefix='   2.4000 front-1 '),
        ]
        events = [line.event for line in collect_trace(FLOW, lines)]
        self.assertEqual(['flow.routed', 'flow.refused'], events)

    def test_verdict_has_the_reason_of_refusal_or_the_duration(self):
        # Guards against an outcome that an operator can read only with
        # knowledge of the event names.
        refused = collect_trace(
            FLOW, [make_line('flow.refused', 'a1', reason='too late')]
        )
        self.assertIn('too late', find_verdict(refused))
        answered = collect_trace(
            FLOW,
            [make_line('flow.answered', 'a1', target_id='i-1', duration_s=0.4)],
        )
        self.assertIn('0.4 s', find_verdict(answered))

    def test_verdict_names_a_target_that_resets_a_flow_it_does_not_hold(self):
        # Guards against a reset of a target that looks like a missing
        # answer, since no agent refused the flow.
        lines = [
            make_line('flow.reset_by_target', 'a2', target_id='i-2'),
            make_line('flow.tried', 'a2', kind='SEARCH'),
            make_line('flow.offered', 'a1', target_id='i-1', hops=1),
        ]
        trace = collect_trace(FLOW, lines)
        self.assertEqual('flow.reset_by_target', trace[-1].event)
        verdict = find_verdict(trace)
        self.assertIn('i-2 beside a2', verdict)
        self.assertIn('did not hold', verdict)
        self.assertIn('passed on', verdict)

    def test_verdict_names_the_first_reset_that_was_passed_on(self):
        # Guards against a verdict by a withheld reset, or by that of the
        # owner, which gives the flow up after the caller has gone.
        lines = [
            make_line('flow.reset_by_target', 'a3', is_withheld=True),
            make_line('flow.reset_by_target', 'a2', target_id='i-2'),
            make_line('flow.reset_by_target', 'a1', target_id='i-1'),
        ]
        verdict = find_verdict(collect_trace(FLOW, lines))
        self.assertIn('i-2 beside a2', verdict)

    def test_late_answer_follows_the_line_that_explains_it(self):
        # Guards against a dropped answer that is listed after the answer
        # of the target that has served the flow.
        lines = [
            make_line('flow.answered', 'a2', target_id='i-2', duration_s=0.1),
            make_line('flow.answered_late', 'a1', target_id='i-1'),
            make_line('target.unanswered', 'a1', target_id='i-1'),
        ]
        events = [line.event for line in collect_trace(FLOW, lines)]
        self.assertEqual(
            ['target.unanswered', 'flow.answered_late', 'flow.answered'],
            events,
        )
