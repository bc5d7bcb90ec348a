"""What goes wrong on connections."""


class ConnectionFailed(Exception):
    """No connection could be made; nothing was sent."""


class ReplyBroken(Exception):
    """The connection broke, or bytes came that are no whole answer."""
