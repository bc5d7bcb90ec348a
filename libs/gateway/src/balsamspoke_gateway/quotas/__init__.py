"""Token limits of the teams, kept by all entry processes together."""

from .buckets import TeamShare
from .teams import TeamQuotas
from .tolerance import QuotaTolerance

__all__ = ["QuotaTolerance", "TeamQuotas", "TeamShare"]
