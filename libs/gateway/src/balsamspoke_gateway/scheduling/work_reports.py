"""Which peers are told of the teams' work, and how often."""

from datetime import timedelta

# Interval of the reports while a service is full.
REPORT_INTERVAL = timedelta(seconds=1)
REPORT_LIFETIME = 3 * REPORT_INTERVAL
# Peers that a report is sent to. What some processes see shows the same proportions as
# what all see, so that a report to all would tell little more.
MAX_RECIPIENTS = 8
# Teams in a report, those that offer most. The others count as within their shares.
MAX_TEAMS = 24


def choose_recipients(peers, draw):
    """Return up to ``MAX_RECIPIENTS`` of the peers, others each time.

    Parameters
    ----------
    peers : sequence
        The peers.
    draw : callable
        Returns a random number in [0, 1).
    """
    remaining = list(peers)
    chosen = []
    while remaining and len(chosen) < MAX_RECIPIENTS:
        chosen.append(remaining.pop(int(draw() * len(remaining))))
    return chosen
