"""The forms in which the object API gives objects."""

from base64 import b64decode

import orjson
from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import ObjectPage, StoredObject


def read_version(reply):
    """Return the version in the ETag of an HttpReply.

    Raises
    ------
    StoreUnavailable
        If there is none.
    """
    try:
        return int(reply.find_header("etag").strip('"'))
    except (AttributeError, ValueError) as error:
        raise StoreUnavailable("a reply without a version") from error


def read_page(content):
    """Return the ObjectPage in the body of a listing or of a watch's reply.

    Raises
    ------
    StoreUnavailable
        If the body isn't in the form expected.
    """
    try:
        document = orjson.loads(content)
        objects = tuple(_read_object(item) for item in document["objects"])
        return ObjectPage(objects, document["revision"], document.get("next_page", ""))
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"not a page of objects: {error!r}") from error


def _read_object(item):
    return StoredObject(
        Kind(item["kind"]),
        item["name"],
        item["version"],
        b64decode(item["value"]),
        item.get("deleted", False),
    )
