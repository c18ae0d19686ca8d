"""When balancers and agents take a silent agent for gone, in seconds."""

# An agent that is listed in the store and has not reported for this long is
# not running: a killed process is back within a second or two.
IDENTIFY_S = 3.0
# An agent without a report for this long is gone, or its target cannot be
# reached through it. Shorter if its last report named no running target:
# such a VM is often taken away with its target.
GONE_AFTER_S = 6.5
IDLE_GONE_AFTER_S = 2.5
