"""Run the operators' tool by ``python -m balsamspoke_ctl``."""

import sys

from .command import main

sys.exit(main())
