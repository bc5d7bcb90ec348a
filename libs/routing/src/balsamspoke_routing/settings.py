"""Settings of replica selection, attempts and idempotency records."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AttemptSettings:
    """Limits and timeouts of the attempts to run one request.

    Attributes
    ----------
    maximum_attempts : int
        Consecutive attempts without progress before the request is refused.
    retry_delay : timedelta
        Upper bound of the random delay before replicas that failed are tried again;
        multiplied by the number of the delay.
    maximum_retry_waits : int
        Most such delays of a call, or of a generation before its first token.
    continuation_timeout : timedelta
        Longest wait of an interrupted stream for a replica that can continue it.
    stall_timeout : timedelta
        Time without messages after which a stream that has credit is continued on
        another replica.
    silence_fraction : float
        Fraction of the time left until the deadline for which a replica may send
        nothing before the first token. Then the attempt is fenced, unless the
        replica reports a queue.
    gap_timeout : timedelta
        Longest wait for missing tokens after later ones have arrived.
    fence_timeout : timedelta
        Longest wait for the answer to FenceAttempt.
    reconnect_timeout : timedelta
        Longest wait of a call that isn't idempotent for a lost connection to be
        restored.
    claim_timeout : timedelta
        Longest wait for the claim of an idempotency record before the call is
        refused.
    late_answer_timeout : timedelta
        Time for which a call with an idempotency key still waits for its answer
        after the caller got a refusal, so that a repeat with the key gets the answer.
    deadline_margin : timedelta
        Subtracted from the deadline that is sent to a side process.
    credit_tokens : int
        Credit window: most tokens sent for one caller and not yet consumed by it.
    maximum_buffered_chunks : int
        Most chunks of one stream that are buffered while earlier ones are missing.
    retry_after : timedelta
        Retry-After of a refusal if no replica suggested one.
    """

    maximum_attempts: int = 4
    retry_delay: timedelta = timedelta(milliseconds=200)
    maximum_retry_waits: int = 3
    continuation_timeout: timedelta = timedelta(seconds=10)
    stall_timeout: timedelta = timedelta(seconds=5)
    silence_fraction: float = 0.5
    gap_timeout: timedelta = timedelta(seconds=1)
    fence_timeout: timedelta = timedelta(milliseconds=250)
    reconnect_timeout: timedelta = timedelta(seconds=2)
    claim_timeout: timedelta = timedelta(milliseconds=1500)
    late_answer_timeout: timedelta = timedelta(seconds=10)
    deadline_margin: timedelta = timedelta(milliseconds=20)
    credit_tokens: int = 256
    maximum_buffered_chunks: int = 256
    retry_after: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """Parameters of load estimates and adapter affinity.

    Attributes
    ----------
    report_half_life : timedelta
        Age at which the load in a report counts half.
    default_batch_size : int
        Batch size to assume for a replica that hasn't reported.
    adapter_half_life : timedelta
        Age at which a request counts half for its adapter's spread.
    requests_per_replica : float
        Recent requests of an adapter at all entry processes that increase its
        spread by one replica.
    maximum_spread : int
        Most replicas that the requests of one adapter are spread over.
    tracked_adapters : int
        Most adapters whose recent requests are counted.
    hash_buckets : int
        Hash buckets of adapters; those in a bucket share a ranking of replicas.
    resident_bonus : float
        Load, in batches, by which a replica that has the adapter may exceed another
        one and still be chosen.
    resident_load : float
        Load, in batches, below which a replica that has the adapter has room in its
        batch and is preferred.
    spare_margin : float
        Load difference, in batches, from which the spare replica beyond the spread
        is chosen.
    spill_load : float
        Load, in batches, from which requests may spill over to replicas beyond the
        adapter's spread.
    spill_margin : float
        Load difference, in batches, from which requests spill over.
    """

    report_half_life: timedelta = timedelta(seconds=2)
    default_batch_size: int = 8
    adapter_half_life: timedelta = timedelta(seconds=10)
    requests_per_replica: float = 40.0
    maximum_spread: int = 12
    tracked_adapters: int = 10_000
    hash_buckets: int = 4096
    resident_bonus: float = 0.25
    resident_load: float = 1.0
    spare_margin: float = 0.125
    spill_load: float = 4.0
    spill_margin: float = 0.5


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Limits of idempotency records, their writes and their deletion.

    Attributes
    ----------
    maximum_body_bytes : int
        Longest body of an answer that is saved for repeats.
    maximum_write_tries : int
        Most tries of one write while its outcome is unknown.
    retry_delay : timedelta
        Upper bound of the random delay before another try; multiplied by the number
        of the try.
    maximum_save_tries : int
        Most tries to save the outcome of an attempt; each may take several tries of
        a write.
    minimum_fence_age : timedelta
        Age of a pending record from which a repeat fences its attempt.
    maximum_progress_age : timedelta
        Age up to which a repeat of a pending request is refused as in progress; later
        the outcome counts as unknown.
    retention_period : timedelta
        Age from which a record may be deleted. A repeat after its deletion is a new
        request.
    sweep_interval : timedelta
        Least time between two sweeps for expired records, of all processes together.
    maximum_sweep_deletes : int
        Most records deleted in one sweep.
    sweep_pause : timedelta
        Pause after each deletion, to limit the load on the object API.
    maximum_sweep_pages : int
        Most pages of records listed in one sweep.
    maximum_unresolved_writes : int
        Most writes of unknown outcome that this process remembers.
    """

    maximum_body_bytes: int = 65_536
    maximum_write_tries: int = 3
    retry_delay: timedelta = timedelta(milliseconds=100)
    maximum_save_tries: int = 8
    minimum_fence_age: timedelta = timedelta(seconds=1)
    maximum_progress_age: timedelta = timedelta(seconds=60)
    retention_period: timedelta = timedelta(hours=24)
    sweep_interval: timedelta = timedelta(minutes=10)
    maximum_sweep_deletes: int = 3000
    sweep_pause: timedelta = timedelta(milliseconds=20)
    maximum_sweep_pages: int = 20
    maximum_unresolved_writes: int = 1000
