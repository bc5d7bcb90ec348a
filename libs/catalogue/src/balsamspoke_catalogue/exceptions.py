"""Errors of the catalogue."""

from balsamspoke_types.exceptions import BalsamspokeError


class CatalogueError(BalsamspokeError):
    """A catalogue object isn't valid.

    Attributes
    ----------
    where : str
        The object and field, as ``kind/name.field``.
    mend : str
        What would make it valid.
    """

    def __init__(self, where, problem, mend):
        super().__init__(f"{where}: {problem}; {mend}")
        self.where = where
        self.mend = mend
