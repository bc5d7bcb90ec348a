"""Entry point of ``python -m balsamspoke_ctl``."""

import sys

from .command import main

sys.exit(main())
