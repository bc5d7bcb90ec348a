"""Errors of the daemon."""

from balsamspoke_types.exceptions import BalsamspokeError


class SettingError(BalsamspokeError):
    """A setting is missing or invalid.

    The message names the setting and says how to correct it.
    """


class SettingsError(ExceptionGroup):
    """The group of all SettingErrors that were found."""

    def derive(self, problems):
        """Return a SettingsError with a subset of the problems."""
        return SettingsError(self.message, problems)


class PeerProtocolError(BalsamspokeError):
    """A connection to a peer violates the protocol, or its peer reads too slowly."""
