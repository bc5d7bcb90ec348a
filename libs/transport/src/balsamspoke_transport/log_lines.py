"""Formatting of log records as JSON lines from which keys are redacted."""

import traceback

import orjson
from balsamspoke_types.keys import redact_keys


def get_line_format(record):
    """Return the Loguru format of all records: the line from ``add_json_line``."""
    return "{extra[line]}\n"


def add_json_line(record):
    """Add the JSON line to a Loguru record, with every key in it redacted.

    A Loguru patcher. The line has the record's time, level, message and extra fields,
    and ``error`` and ``traceback`` if the record has an exception.
    """
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
    record["extra"]["line"] = redact_keys(encoded.decode())
