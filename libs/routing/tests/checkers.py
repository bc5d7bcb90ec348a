"""Checks of the answers to callers against the runs of backend servers."""

from collections import Counter
from dataclasses import dataclass, field

from balsamspoke_routing import AnswerSink
from balsamspoke_types.outcomes import Ran


class Violation(AssertionError):
    """A guarantee of the routing library was violated."""


@dataclass(frozen=True)
class HandOver:
    """Record that a backend server started to run an attempt of a request.

    Attributes
    ----------
    request : str
        Id of the request.
    attempt : AttemptId
        The attempt that was handed over.
    key : str
        Idempotency key of the request; empty without one.
    idempotent : bool
        Whether the request may be run more than once.
    answer : bytes
        Body of the answer to a call.
    """

    request: str
    attempt: object
    key: str = ""
    idempotent: bool = True
    answer: bytes = b""


@dataclass
class Trace(AnswerSink):
    """Record the tokens and the end of the answer that one caller received.

    Attributes
    ----------
    request : str
        Id of the request.
    expected_text : str
        Text of the complete answer.
    expected_tokens : int
        Number of tokens of the complete answer.
    key : str
        Idempotency key of the request; empty without one.
    idempotent : bool
        Whether the request may be run more than once.
    text : str
        Text received so far.
    tokens : int
        Number of tokens received so far.
    ends : list of (str, object)
        Name and argument of each call that ended the answer.
    tokens_after_end : int
        Number of ends before a call of ``add_tokens``, summed over the calls; 0 if no
        tokens came after an end.
    on_tokens : callable or None
        Called with the number of tokens of each ``add_tokens``.
    may_lack_end : bool
        Whether the entry process was restarted, so that the answer may have no end.
    entry : ProcessId or None
        Entry process that runs the request.
    """

    request: str
    expected_text: str = ""
    expected_tokens: int = 0
    key: str = ""
    idempotent: bool = True
    text: str = ""
    tokens: int = 0
    ends: list = field(default_factory=list)
    tokens_after_end: int = 0
    on_tokens: object = None
    may_lack_end: bool = False
    entry: object = None

    def add_tokens(self, text, count):
        self.tokens_after_end += len(self.ends)
        self.text += text
        self.tokens += count
        if self.on_tokens:
            self.on_tokens(count)

    def finish(self, reason, total_tokens):
        self.ends.append(("finish", total_tokens))

    def answer(self, response):
        self.ends.append(("answer", response))

    def refuse(self, refusal):
        self.ends.append(("refuse", refusal))

    def is_refused(self, ran):
        return any(kind == "refuse" and end.ran is ran for kind, end in self.ends)


def check_one_end(traces):
    """Check that each answer ends exactly once, with nothing after its end."""
    for trace in traces:
        if len(trace.ends) > 1 or trace.tokens_after_end:
            raise Violation(
                f"{trace.request}: several ends, or tokens after the end: {trace.ends}"
            )
        if not trace.ends and not trace.may_lack_end:
            raise Violation(f"{trace.request}: the answer has no end")


def check_not_run(traces, hand_overs):
    """Check that no request refused as NOT_RUN was ever handed over."""
    ran = {hand_over.request for hand_over in hand_overs}
    for trace in traces:
        if trace.is_refused(Ran.NOT_RUN) and trace.request in ran:
            raise Violation(
                f"{trace.request}: refused as NOT_RUN, but it was handed over"
            )


def check_at_most_once(hand_overs):
    """Check that a call that isn't idempotent runs at most once.

    Calls with the same idempotency key count as one.
    """
    counts = Counter(
        hand_over.key or hand_over.request
        for hand_over in hand_overs
        if not hand_over.idempotent
    )
    for name, count in counts.items():
        if count > 1:
            raise Violation(f"{name}: ran {count} times")


def check_complete_answers(traces):
    """Check that finished answers are complete and all others a prefix of them."""
    for trace in traces:
        if not trace.expected_text.startswith(trace.text):
            raise Violation(f"{trace.request}: wrong text {trace.text!r}")
        for kind, end in trace.ends:
            is_text_complete = trace.text == trace.expected_text
            is_count_right = trace.tokens == trace.expected_tokens == end
            if kind == "finish" and not (is_text_complete and is_count_right):
                raise Violation(f"{trace.request}: finished with an incomplete answer")
            if kind == "refuse" and trace.tokens and end.ran is not Ran.UNKNOWN:
                raise Violation(f"{trace.request}: refused as {end.ran} after tokens")


def check_saved_answers(traces, hand_overs):
    """Check that each answer to a call with a key is that of the key's only run."""
    answers = {run.key: run.answer for run in hand_overs if run.key}
    for trace in traces:
        for kind, end in trace.ends:
            if kind == "answer" and trace.key and end.body != answers[trace.key]:
                raise Violation(f"{trace.request}: wrong answer {end.body!r}")


def check_all(traces, hand_overs):
    """Check every guarantee, the one whose violation does most harm first."""
    check_at_most_once(hand_overs)
    check_not_run(traces, hand_overs)
    check_complete_answers(traces)
    check_saved_answers(traces, hand_overs)
    check_one_end(traces)
