"""Settings of the property tests: a fixed budget in CI, a seed for longer runs.

Import this module in each module of property tests. Without environment variables
every run draws the same examples. ``BALSAMSPOKE_EXAMPLES`` sets how many times as
many examples are drawn, ``BALSAMSPOKE_SEED`` draws others. A failing example is only
made smaller if ``BALSAMSPOKE_SHRINK`` is set, since that can take many minutes.
"""

import os

from hypothesis import HealthCheck, Phase, core, settings

EXAMPLES_VARIABLE = "BALSAMSPOKE_EXAMPLES"
SEED_VARIABLE = "BALSAMSPOKE_SEED"
SHRINK_VARIABLE = "BALSAMSPOKE_SHRINK"

_PHASES = (Phase.explicit, Phase.generate)


def examples(count):
    """Return the settings for a property with a number of examples in CI."""
    factor = float(os.environ.get(EXAMPLES_VARIABLE, "1"))
    return settings(
        max_examples=max(1, round(count * factor)),
        derandomize=SEED_VARIABLE not in os.environ,
        database=None,
        phases=_PHASES + ((Phase.shrink,) if SHRINK_VARIABLE in os.environ else ()),
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )


if SEED_VARIABLE in os.environ:
    core.global_force_seed = int(os.environ[SEED_VARIABLE])
