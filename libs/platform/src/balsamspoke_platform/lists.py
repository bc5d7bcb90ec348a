"""Reading of lists, of which one item may be odd."""

from loguru import logger


def read_items(items, read_item, kind):
    """Read the items of a list; odd ones are logged and left out.

    Parameters
    ----------
    items : list
        Decoded JSON.
    read_item : callable
        Called with an item; returns what it stands for, or raises ValueError, KeyError
        or TypeError.
    kind : str
        What the items are, for the log.

    Returns
    -------
    tuple

    Raises
    ------
    TypeError
        If it is no list.
    """
    if not isinstance(items, list):
        raise TypeError(f"no list of {kind}")
    found = []
    for item in items:
        try:
            found.append(read_item(item))
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("ignoring an odd item of {}: {!r}", kind, error)
    return tuple(found)


def check_types(fields, kind):
    """Raise TypeError unless the values of a dict are all of one type."""
    for name, value in fields.items():
        if type(value) is not kind:
            raise TypeError(f"{name} is no {kind.__name__}")
