"""Errors of the daemon."""

from balsamspoke_types.exceptions import BalsamspokeError


class SettingError(BalsamspokeError):
    """A setting is missing or wrong; the text names it and the mend."""


class SettingsError(ExceptionGroup):
    """All that is wrong with the settings."""

    def derive(self, problems):
        """Return the same kind of group for a part of the problems."""
        return SettingsError(self.message, problems)


class PeerProtocolError(BalsamspokeError):
    """A peer's connection didn't open as the protocol says."""
