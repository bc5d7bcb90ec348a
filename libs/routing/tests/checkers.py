"""Checkers of a history: what callers were told against what backend servers ran."""

from collections import Counter
from dataclasses import dataclass, field

from balsamspoke_routing import AnswerSink
from balsamspoke_types.outcomes import Ran


class Violation(AssertionError):
    """A history breaks a promise."""


@dataclass(frozen=True)
class HandOver:
    """A backend server began to run a request."""

    request: str
    attempt: object
    key: str = ""
    idempotent: bool = True
    answer: bytes = b""


@dataclass
class Trace(AnswerSink):
    """What one caller was told."""

    request: str
    expected_text: str = ""
    expected_tokens: int = 0
    key: str = ""
    idempotent: bool = True
    text: str = ""
    tokens: int = 0
    ends: list = field(default_factory=list)
    after_end: int = 0
    on_tokens: object = None
    may_never_end: bool = False
    on_entry: object = None

    def add_tokens(self, text, count):
        self.after_end += len(self.ends)
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
    """Each caller is told exactly one end, and nothing after it."""
    for trace in traces:
        if len(trace.ends) > 1 or trace.after_end:
            raise Violation(f"{trace.request}: told after its end: {trace.ends}")
        if not trace.ends and not trace.may_never_end:
            raise Violation(f"{trace.request}: no end")


def check_not_run(traces, hand_overs):
    """A request that was refused as not run was never handed over."""
    ran = {hand_over.request for hand_over in hand_overs}
    for trace in traces:
        if trace.is_refused(Ran.NOT_RUN) and trace.request in ran:
            raise Violation(f"{trace.request}: refused as not run, but it ran")


def check_at_most_once(hand_overs):
    """A request that isn't idempotent runs once for its key, or once without."""
    counts = Counter(
        hand_over.key or hand_over.request
        for hand_over in hand_overs
        if not hand_over.idempotent
    )
    for name, count in counts.items():
        if count > 1:
            raise Violation(f"{name}: ran {count} times")


def check_complete_answers(traces):
    """A finished answer is the whole text; any other is a beginning of it."""
    for trace in traces:
        if not trace.expected_text.startswith(trace.text):
            raise Violation(f"{trace.request}: wrong text {trace.text!r}")
        for kind, end in trace.ends:
            whole = trace.text == trace.expected_text
            counted = trace.tokens == trace.expected_tokens == end
            if kind == "finish" and not (whole and counted):
                raise Violation(f"{trace.request}: finished short")
            if kind == "refuse" and trace.tokens and end.ran is not Ran.UNKNOWN:
                raise Violation(f"{trace.request}: tokens, but said {end.ran}")


def check_saved_answers(traces, hand_overs):
    """Every answer is that of the one run of its key."""
    answers = {run.key: run.answer for run in hand_overs if run.key}
    for trace in traces:
        for kind, end in trace.ends:
            if kind == "answer" and trace.key and end.body != answers[trace.key]:
                raise Violation(f"{trace.request}: answered with {end.body!r}")


def check_all(traces, hand_overs):
    """Check every promise, in order of harm."""
    check_at_most_once(hand_overs)
    check_not_run(traces, hand_overs)
    check_complete_answers(traces)
    check_saved_answers(traces, hand_overs)
    check_one_end(traces)
