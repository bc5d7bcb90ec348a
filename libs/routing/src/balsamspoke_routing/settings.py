"""Settings of routing; durations are timedeltas."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AttemptSettings:
    """Bounds on the attempts to run one request.

    Attributes
    ----------
    maximum_attempts : int
        Attempts that may follow each other without progress.
    retry_delay : timedelta
        Longest random wait before replicas that failed are tried again; it grows
        with each wait.
    maximum_waits : int
        Such waits before the first token.
    continuation_time : timedelta
        How long an answer under way waits for a replica that can continue it.
    stall_time : timedelta
        Silence of a stream that has credit, until it is continued elsewhere.
    silent_part : float
        Part of the deadline that a replica may be silent before the first token;
        then it is asked whether it handed the attempt over, unless it reports a
        queue.
    gap_time : timedelta
        How long missing tokens are waited for while later ones are there.
    fence_wait : timedelta
        How long the answer to FenceAttempt is waited for.
    reconnect_wait : timedelta
        How long a call that can't be repeated waits for a lost connection.
    claim_wait : timedelta
        How long the idempotency record is waited for before a call is refused.
    late_answer_time : timedelta
        How long an answer that comes too late for its caller is still waited for,
        so that a repeat with the same idempotency key gets it.
    deadline_margin : timedelta
        Taken off the deadline that a side process is told.
    credit_tokens : int
        Tokens that may be on the way to one caller.
    held_chunks : int
        Chunks of one stream that are kept while earlier ones are missing.
    retry_after : timedelta
        What callers are told if a replica named no time.
    """

    maximum_attempts: int = 4
    retry_delay: timedelta = timedelta(milliseconds=200)
    maximum_waits: int = 3
    continuation_time: timedelta = timedelta(seconds=10)
    stall_time: timedelta = timedelta(seconds=5)
    silent_part: float = 0.5
    gap_time: timedelta = timedelta(seconds=1)
    fence_wait: timedelta = timedelta(milliseconds=250)
    reconnect_wait: timedelta = timedelta(seconds=2)
    claim_wait: timedelta = timedelta(milliseconds=1500)
    late_answer_time: timedelta = timedelta(seconds=10)
    deadline_margin: timedelta = timedelta(milliseconds=20)
    credit_tokens: int = 256
    held_chunks: int = 256
    retry_after: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """How replicas are chosen.

    Attributes
    ----------
    report_half_life : timedelta
        Age at which a report counts half.
    default_batch_size : int
        Batch size of a replica that hasn't reported.
    adapter_half_life : timedelta
        Age at which a request counts half for its adapter's width.
    requests_per_width : float
        Recent requests of an adapter, over all entry processes, for which one
        more replica is used.
    maximum_width : int
        Most replicas that one adapter is spread over by its own load.
    followed_adapters : int
        Adapters whose recent load is kept.
    hash_buckets : int
        Groups of adapters that share a ranking of the replicas.
    resident_bonus : float
        Part of a batch by which a replica that has the adapter may be busier.
    resident_load : float
        Load, in batches, below which a replica that has the adapter is preferred.
    spare_margin : float
        How much less loaded, in batches, the replica beyond the width must be.
    spill_load : float
        Load, in batches, from which requests may leave the adapter's width.
    spill_margin : float
        How much less loaded, in batches, another replica must be then.
    """

    report_half_life: timedelta = timedelta(seconds=2)
    default_batch_size: int = 8
    adapter_half_life: timedelta = timedelta(seconds=10)
    requests_per_width: float = 40.0
    maximum_width: int = 12
    followed_adapters: int = 10_000
    hash_buckets: int = 4096
    resident_bonus: float = 0.25
    resident_load: float = 1.0
    spare_margin: float = 0.125
    spill_load: float = 4.0
    spill_margin: float = 0.5


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Bounds on idempotency records.

    Attributes
    ----------
    maximum_body_bytes : int
        Longest answer that is saved for repeats.
    write_tries : int
        Tries of one write whose outcome is unknown.
    retry_delay : timedelta
        Longest random wait before another try.
    save_tries : int
        Tries to save an outcome.
    fence_after : timedelta
        Age of a pending record before a repeat asks whether it was handed over.
    progress_time : timedelta
        Age until which a pending record is said to be in progress.
    kept_time : timedelta
        Age from which a record may be deleted; a repeat then is a new request.
    sweep_interval : timedelta
        Time between two deletions of old records, over all processes.
    sweep_deletes : int
        Most records deleted in one turn.
    sweep_pause : timedelta
        Wait after each deletion, so that the object API serves others as well.
    sweep_pages : int
        Most pages listed in one turn.
    remembered_writes : int
        Unsettled writes of this process that are remembered.
    """

    maximum_body_bytes: int = 65_536
    write_tries: int = 3
    retry_delay: timedelta = timedelta(milliseconds=100)
    save_tries: int = 8
    fence_after: timedelta = timedelta(seconds=1)
    progress_time: timedelta = timedelta(seconds=60)
    kept_time: timedelta = timedelta(hours=24)
    sweep_interval: timedelta = timedelta(minutes=10)
    sweep_deletes: int = 3000
    sweep_pause: timedelta = timedelta(milliseconds=20)
    sweep_pages: int = 20
    remembered_writes: int = 1000
