"""Fleet membership: which processes are live, suspect or leaving."""

from .members import Member, MemberState
from .membership import Membership
from .settings import MembershipSettings

__all__ = ["Member", "MemberState", "Membership", "MembershipSettings"]
