"""Errors of the catalogue."""

from balsamspoke_types.exceptions import BalsamspokeError


class CatalogueError(BalsamspokeError):
    """A catalogue object is invalid.

    Attributes
    ----------
    where : str
        Object and field, as ``kind/name.field``.
    remedy : str
        Advice on how to make the object valid.
    """

    def __init__(self, where, problem, remedy):
        super().__init__(f"{where}: {problem}; {remedy}")
        self.where = where
        self.remedy = remedy
