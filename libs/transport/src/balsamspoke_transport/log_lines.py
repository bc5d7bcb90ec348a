"""Log lines as JSON objects, without keys."""

import traceback

import orjson
from balsamspoke_types.keys import hide_keys


def choose_format(record):
    """Return the format of all lines: what ``add_line`` has prepared."""
    return "{extra[line]}\n"


def add_line(record):
    """Put the JSON line into the record; every text in it is freed of keys."""
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **{key: value for key, value in record["extra"].items() if key != "line"},
    }
    if record["exception"] is not None:
        fields["error"] = repr(record["exception"].value)
        fields["traceback"] = "".join(traceback.format_exception(*record["exception"]))
    encoded = orjson.dumps(fields, default=str)
    record["extra"]["line"] = hide_keys(encoded.decode())
