"""Choice of the processes that remember where a stream has started."""

from ..rendezvous import rank_names

# Processes that are told where a stream has started. Side processes go on when all
# entry processes end.
SIDE_HOLDERS = 2
ENTRY_HOLDERS = 1
# Entry processes that are told if there are no side processes.
ENTRY_HOLDERS_ALONE = 2
# One more is asked than was told: the sender of a notice is no holder of it, and a
# process that came back since ranks before one that was told.
EXTRA_ASKED = 1


class HolderSelection:
    """Choose holders of a stream's origin by the content of its request.

    All processes that know the same side and entry processes choose alike, so the one
    that asks finds those that were told.

    Parameters
    ----------
    context : GatewayContext
        State of the process.
    """

    def __init__(self, context):
        self._context = context

    def choose_told(self, keys):
        """Return the IP addresses of the processes that are told of a stream.

        Parameters
        ----------
        keys : StreamKeys
            Keys of the stream.
        """
        sides, entries = self._rank_processes(keys)
        if not sides:
            return entries[:ENTRY_HOLDERS_ALONE]
        return sides[:SIDE_HOLDERS] + entries[:ENTRY_HOLDERS]

    def choose_asked(self, keys):
        """Return the IP addresses of the processes that may have been told.

        Parameters
        ----------
        keys : StreamKeys
            Keys of the stream.
        """
        sides, entries = self._rank_processes(keys)
        if not sides:
            return entries[: ENTRY_HOLDERS_ALONE + EXTRA_ASKED]
        asked_sides = sides[: SIDE_HOLDERS + EXTRA_ASKED]
        return asked_sides + entries[: ENTRY_HOLDERS + EXTRA_ASKED]

    def _rank_processes(self, keys):
        """Return IP addresses of side and of entry processes, best holders first."""
        now = self._context.clock.monotonic()
        entries = self._context.peer_activity.list_heard(now)
        return (
            rank_names(keys.content, self._list_sides()),
            rank_names(keys.content, entries),
        )

    def _list_sides(self):
        """Return the IP addresses (set) of the side processes of all engines."""
        configuration = self._context.configuration
        if configuration is None:
            return set()
        return {
            each.ip
            for each in self._context.fleet.directory.list_all()
            if not each.is_leaving and configuration.has_engine(each.service)
        }
