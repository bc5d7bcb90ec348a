"""Hypothesis settings of the property tests.

Each module of property tests imports this module. CI runs a fixed number of examples,
the same in every run. Environment variables change that for longer runs:
``BALSAMSPOKE_EXAMPLES`` multiplies the number of examples, and ``BALSAMSPOKE_SEED`` is
a seed from which other examples are drawn. A failing example is only shrunk if
``BALSAMSPOKE_SHRINK`` is set, since shrinking can take many minutes.
"""

import os

from hypothesis import HealthCheck, Phase, core, settings

EXAMPLES_VARIABLE = "BALSAMSPOKE_EXAMPLES"
SEED_VARIABLE = "BALSAMSPOKE_SEED"
SHRINK_VARIABLE = "BALSAMSPOKE_SHRINK"

_PHASES = (Phase.explicit, Phase.generate)


def examples(count):
    """Return the settings decorator of a property test.

    Parameters
    ----------
    count : int
        Number of examples, before the factor of ``BALSAMSPOKE_EXAMPLES``.
    """
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
