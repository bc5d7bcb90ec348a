"""Entry point of ``python -m balsamspoke_daemon``."""

import sys

from .command import main

sys.exit(main())
