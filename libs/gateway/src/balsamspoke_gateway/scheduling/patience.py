"""How long requests may wait at an engine, by their urgency and the time they have."""

from ..configuration import RequestKind

# Fraction of the time left that a patient request may be predicted to wait. More
# urgent requests that come later go before it, so it waits longer than predicted.
PATIENT_WAIT_RATIO = 0.25


def find_most_urgent(configuration, service):
    """Return the priority of the most urgent requests for a service.

    Only streams count, as engines are told no priority of other requests.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    service : str
        Name of the service, to which a route leads.
    """
    priorities = []
    for route in configuration.routes:
        is_stream = route.kind is RequestKind.STREAMING
        if not is_stream or not route.leads_to(service):
            continue
        teams = () if route.is_public else configuration.teams
        stated = [team.priority for team in teams] or [None]
        priorities += [route.priority if each is None else each for each in stated]
    return min(priorities, default=0)


def compute_longest_wait(objective, priority, most_urgent, time_left):
    """Return the longest predicted wait for which a request is sent to an engine.

    This handles a peak at which patient requests, whose deadline is many seconds away,
    would be refused although they can be served after it. They wait at the engine,
    which admits the more urgent requests first. The most urgent ones are refused as
    soon as they can't meet their objective.

    Parameters
    ----------
    objective : timedelta
        Latency objective of the route.
    priority : int or None
        Priority of the request; None if the engine is told none.
    most_urgent : int
        Priority of the service's most urgent requests.
    time_left : timedelta
        Time until the request's deadline.
    """
    if priority is None or priority <= most_urgent:
        return objective
    return max(objective, PATIENT_WAIT_RATIO * time_left)
