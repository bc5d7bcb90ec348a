"""Membership: which processes of the fleet are live, leaving or gone."""

from .members import Member, MemberState
from .membership import Membership
from .settings import MembershipSettings

__all__ = ["Member", "MemberState", "Membership", "MembershipSettings"]
