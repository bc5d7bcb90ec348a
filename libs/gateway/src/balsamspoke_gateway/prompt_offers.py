"""Offers of prompts to side processes, which say when each one may be sent."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from .exceptions import NO_DELAY, AnswerOverdue
from .messages import PromptDecision, PromptWithdrawal

# An offer without an answer is repeated after this time, a few round trips.
REPEAT_INTERVAL = timedelta(milliseconds=40)
# After this many offers without an answer the prompt is sent without permission: the
# side process may have ended, and the replica queues what it cannot read at once.
MAX_UNANSWERED_OFFERS = 3
# A prompt that waits is offered again at this interval, as the permission may be lost.
WAITING_INTERVAL = timedelta(milliseconds=200)


class PromptOffers:
    """Offer prompts to side processes, and wait until they may be sent.

    Parameters
    ----------
    clock : Clock
        Source of time and of timeouts.
    peers : PeerSender
        Sends the offers.
    """

    def __init__(self, clock, peers):
        self._clock = clock
        self._peers = peers
        self._waiters = {}
        self._last_number = 0

    def make_number(self):
        """Return a number that no other offer of this process has."""
        self._last_number += 1
        return self._last_number

    async def wait_for_permission(self, ip, offer):
        """Offer a prompt to a side process until it may be sent or is refused.

        Parameters
        ----------
        ip : str
            IP address of the side process.
        offer : PromptOffer
            The prompt.

        Returns
        -------
        PromptAnswer or None
            The last answer: a permission, or a refusal or prediction if the prompt
            could not be sent in time; None if the side process does not answer.
        """
        answer = None
        try:
            answer = await self._repeat(ip, offer)
            return answer
        finally:
            self._waiters.pop(offer.number, None)
            if answer is None or answer.decision is not PromptDecision.START:
                self._peers.send(ip, PromptWithdrawal(offer.number))

    def record_answer(self, answer):
        """Resume the request that a PromptAnswer is for, if it still waits."""
        waiter = self._waiters.pop(answer.number, None)
        if waiter is not None:
            waiter.callback(answer)

    async def _repeat(self, ip, offer):
        """Send an offer repeatedly; return the last PromptAnswer, or None."""
        expires = self._clock.monotonic() + timedelta(seconds=offer.patience)
        interval = REPEAT_INTERVAL
        last_answer = None
        unanswered = 0
        is_offered = False
        while unanswered < MAX_UNANSWERED_OFFERS:
            time_left = expires - self._clock.monotonic()
            if time_left <= NO_DELAY:
                return last_answer
            if not is_offered:
                self._peers.send(ip, offer)
            answer = await self._wait(offer.number, min(interval, time_left))
            is_offered = answer is not None
            if answer is None:
                unanswered += 1
                continue
            if answer.decision is not PromptDecision.WAIT:
                return answer
            last_answer = answer
            interval = WAITING_INTERVAL
            unanswered = 0
        return None

    async def _wait(self, number, limit):
        """Return the next PromptAnswer to an offer, or None after a time limit."""
        waiter = self._waiters[number] = Deferred()
        try:
            return await add_timeout(waiter, self._clock, limit, AnswerOverdue())
        except AnswerOverdue:
            return None
