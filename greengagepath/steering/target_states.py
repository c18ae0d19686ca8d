"""Reported states of targets, by what they mean for flows."""

from .messages.peer_messages import LoadReport, ReportedState

# The target accepts new flows.
ACCEPTING_STATES = frozenset((ReportedState.READY, ReportedState.UNHEARD))
# The target may have room soon.
RUNNING_STATES = ACCEPTING_STATES | {ReportedState.FULL}
# The agent has not heard a running target.
IDLE_STATES = frozenset((ReportedState.ABSENT, ReportedState.UNHEARD))


def is_heard_again(
    state: ReportedState, started_ms: int, report: LoadReport
) -> bool:
    """Return whether a target runs that its agent took for gone.

    `state` and `started_ms` (ms since the epoch, 0 if unknown) are those of
    the report before. An agent denies the flows of a target that is gone
    without asking it; a target that has started since does not hold them.
    """
    was_absent = state is ReportedState.ABSENT and started_ms
    is_absent = report.state is ReportedState.ABSENT
    return (
        bool(was_absent) and not is_absent and report.started_ms == started_ms
    )
