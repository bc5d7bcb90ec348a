"""Parsing of objects in replies of the object API."""

from base64 import b64decode

import orjson
from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import ObjectPage, StoredObject

from .lists import check_types, read_items


def read_version(reply):
    """Return the version in the ETag of an HttpReply.

    Raises
    ------
    StoreUnavailable
        If the ETag is missing or isn't a version.
    """
    try:
        return int(reply.find_header("etag").strip('"'))
    except (AttributeError, ValueError) as error:
        raise StoreUnavailable("the reply has no valid ETag") from error


def read_page(content):
    """Parse the body of a listing, or of the reply to a watch's poll.

    Parameters
    ----------
    content : bytes
        The body, a JSON object.

    Returns
    -------
    ObjectPage
        The objects, without those that can't be read.

    Raises
    ------
    StoreUnavailable
        If the body is malformed.
    """
    try:
        document = orjson.loads(content)
        objects = read_items(document["objects"], _read_object, "objects")
        return ObjectPage(objects, document["revision"], document.get("next_page", ""))
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"malformed page of objects: {error!r}") from error


def _read_object(item):
    name, version = item["name"], item["version"]
    check_types({"name": name}, str)
    check_types({"version": version}, int)
    return StoredObject(
        Kind(item["kind"]),
        name,
        version,
        b64decode(item["value"], validate=True),
        item.get("deleted", False),
    )
