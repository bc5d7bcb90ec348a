"""Errors of client connections."""


class ConnectionFailed(Exception):
    """No connection could be made; nothing was sent."""


class RequestMalformed(Exception):
    """The request can't be written as HTTP; nothing was sent."""


class ReplyBroken(Exception):
    """No complete, valid response was received; the request may have run."""


class ReplyOverdue(ReplyBroken):
    """The server did not respond in time on an open connection."""


class ReplyCutOff(ReplyBroken):
    """The server closed the connection in good order before the response's end."""
