"""Quarantine of requests, and of prompt parts, that crash replicas."""

from .answered import AnsweredPartsCache
from .coordinator import QuarantineCoordinator
from .crash_detection import CrashDetector
from .evidence import QUARANTINE_TIME, UNCERTAIN_TIME, CrashEvidence
from .fingerprints import make_fingerprint
from .messages import (
    AnsweredParts,
    CrashReport,
    CrashSuspect,
    QuarantineEntry,
    QuarantineUpdate,
)
from .quarantine import PromptQuarantine
from .storage import QuarantineRecord, QuarantineStorage, QuarantineStore

__all__ = [
    "QUARANTINE_TIME",
    "UNCERTAIN_TIME",
    "AnsweredParts",
    "AnsweredPartsCache",
    "CrashDetector",
    "CrashEvidence",
    "CrashReport",
    "CrashSuspect",
    "PromptQuarantine",
    "QuarantineCoordinator",
    "QuarantineEntry",
    "QuarantineRecord",
    "QuarantineStorage",
    "QuarantineStore",
    "QuarantineUpdate",
    "make_fingerprint",
]
