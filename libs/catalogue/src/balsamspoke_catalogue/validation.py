"""Validation of a catalogue that reports all problems at once."""

import hashlib
import math
import re
from datetime import timedelta

from balsamspoke_types.objects import (
    Adapter,
    KeyRecord,
    Kind,
    Model,
    PlainService,
    Team,
)

from .codec import KIND_BY_CLASS
from .exceptions import CatalogueError

MAXIMUM_NAME_LENGTH = 128
MAXIMUM_RATE_TOKENS_PER_SECOND = 1e9
MAXIMUM_BURST_TOKENS = 10**12
MAXIMUM_TIMEOUT = timedelta(hours=1)

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]+")


def digest_key(key):
    """Return the hex SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def validate_catalogue(objects):
    """Validate the objects of a catalogue and the references between them.

    Parameters
    ----------
    objects : iterable of Team, Model, Adapter, PlainService or KeyRecord
        All objects of the catalogue.

    Raises
    ------
    ExceptionGroup
        Group with one CatalogueError for each problem.
    """
    objects = list(objects)
    problems = []
    names_by_kind = _collect_names(objects, problems)
    for obj in objects:
        report = _ProblemReport(obj, problems)
        _check_name(obj.name, report)
        _CHECKS[type(obj)](obj, names_by_kind, report)
    _check_unique_digests(objects, problems)
    if problems:
        raise ExceptionGroup("invalid catalogue", problems)


class _ProblemReport:
    def __init__(self, obj, problems):
        self._where = f"{KIND_BY_CLASS[type(obj)].value}/{obj.name}"
        self._problems = problems

    def expect(self, is_met, field, problem, remedy):
        if not is_met:
            error = CatalogueError(f"{self._where}.{field}", problem, remedy)
            self._problems.append(error)


def _collect_names(objects, problems):
    names_by_kind = {kind: set() for kind in Kind}
    for obj in objects:
        names = names_by_kind[KIND_BY_CLASS[type(obj)]]
        _ProblemReport(obj, problems).expect(
            obj.name not in names, "name", "duplicate name", "rename or remove one"
        )
        names.add(obj.name)
    for name in sorted(names_by_kind[Kind.MODEL] & names_by_kind[Kind.SERVICE]):
        problems.append(
            CatalogueError(
                f"services/{name}.name", "a model has the same name", "rename one"
            )
        )
    return names_by_kind


def _check_name(name, report):
    report.expect(
        len(name) <= MAXIMUM_NAME_LENGTH and _NAME.fullmatch(name),
        "name",
        f"invalid name {name!r}",
        f"use at most {MAXIMUM_NAME_LENGTH} characters of a-z, 0-9, '.', '_', '-', "
        "starting and ending with a letter or digit",
    )


def _check_reference(name, names, field, report):
    report.expect(name in names, field, f"{name!r} does not exist", "add it first")


def _check_range(value, low, high, field, report):
    report.expect(
        low <= value <= high,
        field,
        f"{value} is out of range",
        f"use a number from {low} to {high}",
    )


def _check_team(team, _names_by_kind, report):
    is_rate_valid = math.isfinite(team.rate) and (
        0 < team.rate <= MAXIMUM_RATE_TOKENS_PER_SECOND
    )
    report.expect(
        is_rate_valid,
        "rate",
        f"{team.rate} is out of range",
        "use tokens per second above 0",
    )
    _check_range(team.burst, 1, MAXIMUM_BURST_TOKENS, "burst", report)
    is_weight_valid = math.isfinite(team.weight) and 0 < team.weight <= 1000
    report.expect(
        is_weight_valid,
        "weight",
        f"{team.weight} is out of range",
        "use above 0, at most 1000",
    )


def _check_model(model, _names_by_kind, report):
    _check_range(model.max_tokens, 1, 10**7, "max_tokens", report)
    _check_range(
        model.default_max_tokens, 1, model.max_tokens, "default_max_tokens", report
    )
    _check_range(model.adapter_slots, 1, 10**5, "adapter_slots", report)
    _check_range(model.batch_size, 1, 10**5, "batch_size", report)


def _check_adapter(adapter, names_by_kind, report):
    _check_reference(adapter.team, names_by_kind[Kind.TEAM], "team", report)
    _check_reference(adapter.model, names_by_kind[Kind.MODEL], "model", report)
    report.expect(adapter.versions, "versions", "empty", "name at least one version")
    for version in adapter.versions:
        _check_range(version, 1, 2**53, "versions", report)
    report.expect(
        len(set(adapter.versions)) == len(adapter.versions),
        "versions",
        "duplicate version",
        "remove one",
    )
    report.expect(
        adapter.default_version in adapter.versions,
        "default_version",
        f"{adapter.default_version} is not one of the versions",
        "add it to versions or use another",
    )


def _check_service(service, names_by_kind, report):
    for team in service.teams:
        _check_reference(team, names_by_kind[Kind.TEAM], "teams", report)
    for call in service.calls:
        report.expect(
            _METHOD.fullmatch(call.method),
            "calls",
            f"{call.method!r} is not an HTTP method",
            "use capital letters",
        )
        report.expect(
            call.path_prefix.startswith("/"),
            "calls",
            f"{call.path_prefix!r} is not a path",
            "start it with '/'",
        )
    _check_range(service.tokens_per_call, 0, 10**9, "tokens_per_call", report)
    report.expect(
        timedelta(0) < service.timeout <= MAXIMUM_TIMEOUT,
        "timeout",
        f"{service.timeout} is out of range",
        "use above 0, at most an hour",
    )


def _check_key(key, names_by_kind, report):
    _check_reference(key.team, names_by_kind[Kind.TEAM], "team", report)
    report.expect(
        _DIGEST.fullmatch(key.digest),
        "digest",
        "not a SHA-256 in hex",
        "store the digest of the key, never the key",
    )


def _check_unique_digests(objects, problems):
    records_by_digest = {}
    for obj in objects:
        if not isinstance(obj, KeyRecord):
            continue
        other = records_by_digest.setdefault(obj.digest, obj)
        _ProblemReport(obj, problems).expect(
            other is obj,
            "digest",
            f"same key as {other.name!r}",
            "issue another key",
        )


_CHECKS = {
    Team: _check_team,
    Model: _check_model,
    Adapter: _check_adapter,
    PlainService: _check_service,
    KeyRecord: _check_key,
}
