"""Validate catalogue objects together, and find every problem at once."""

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

from .codec import KIND_OF_CLASS
from .exceptions import CatalogueError

MAXIMUM_NAME_LENGTH = 128
MAXIMUM_RATE_TOKENS_A_SECOND = 1e9
MAXIMUM_BURST_TOKENS = 10**12
MAXIMUM_TIMEOUT = timedelta(hours=1)

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]+")


def digest_key(key):
    """Return the hex SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def validate_catalogue(objects):
    """Check that objects are valid, alone and together.

    Parameters
    ----------
    objects : iterable of Team, Model, Adapter, PlainService or KeyRecord
        The whole catalogue, as it would be in force.

    Raises
    ------
    ExceptionGroup
        Of a CatalogueError for each problem.
    """
    objects = list(objects)
    problems = []
    known = _find_names(objects, problems)
    for obj in objects:
        report = _Report(obj, problems)
        _check_name(obj.name, report)
        _CHECKS[type(obj)](obj, known, report)
    _check_digests(objects, problems)
    if problems:
        raise ExceptionGroup("the catalogue isn't valid", problems)


class _Report:
    def __init__(self, obj, problems):
        self._where = f"{KIND_OF_CLASS[type(obj)].value}/{obj.name}"
        self._problems = problems

    def expect(self, holds, field, problem, mend):
        if not holds:
            error = CatalogueError(f"{self._where}.{field}", problem, mend)
            self._problems.append(error)


def _find_names(objects, problems):
    known = {kind: set() for kind in Kind}
    for obj in objects:
        names = known[KIND_OF_CLASS[type(obj)]]
        _Report(obj, problems).expect(
            obj.name not in names, "name", "given twice", "rename or remove one"
        )
        names.add(obj.name)
    for name in sorted(known[Kind.MODEL] & known[Kind.SERVICE]):
        problems.append(
            CatalogueError(
                f"services/{name}.name", "a model has this name", "rename one"
            )
        )
    return known


def _check_name(name, report):
    report.expect(
        len(name) <= MAXIMUM_NAME_LENGTH and _NAME.fullmatch(name),
        "name",
        f"{name!r} isn't allowed",
        f"use at most {MAXIMUM_NAME_LENGTH} of a-z, 0-9, '.', '_', '-', "
        "with a letter or digit at both ends",
    )


def _check_reference(name, names, field, report):
    report.expect(name in names, field, f"{name!r} doesn't exist", "add it first")


def _check_whole(value, low, high, field, report):
    report.expect(
        low <= value <= high, field, f"{value}", f"use a number of {low} to {high}"
    )


def _check_team(team, _known, report):
    rate_is_good = math.isfinite(team.rate) and (
        0 < team.rate <= MAXIMUM_RATE_TOKENS_A_SECOND
    )
    report.expect(
        rate_is_good, "rate", f"{team.rate}", "use tokens a second above zero"
    )
    _check_whole(team.burst, 1, MAXIMUM_BURST_TOKENS, "burst", report)
    weight_is_good = math.isfinite(team.weight) and 0 < team.weight <= 1000
    report.expect(
        weight_is_good, "weight", f"{team.weight}", "use above 0, at most 1000"
    )


def _check_model(model, _known, report):
    _check_whole(model.max_tokens, 1, 10**7, "max_tokens", report)
    _check_whole(
        model.default_max_tokens, 1, model.max_tokens, "default_max_tokens", report
    )
    _check_whole(model.adapter_slots, 1, 10**5, "adapter_slots", report)
    _check_whole(model.batch_size, 1, 10**5, "batch_size", report)


def _check_adapter(adapter, known, report):
    _check_reference(adapter.team, known[Kind.TEAM], "team", report)
    _check_reference(adapter.model, known[Kind.MODEL], "model", report)
    report.expect(adapter.versions, "versions", "empty", "name at least one version")
    for version in adapter.versions:
        _check_whole(version, 1, 2**53, "versions", report)
    report.expect(
        len(set(adapter.versions)) == len(adapter.versions),
        "versions",
        "a version is given twice",
        "remove one",
    )
    report.expect(
        adapter.default_version in adapter.versions,
        "default_version",
        f"{adapter.default_version} isn't among the versions",
        "add it to versions or choose another",
    )


def _check_service(service, known, report):
    for team in service.teams:
        _check_reference(team, known[Kind.TEAM], "teams", report)
    for call in service.calls:
        report.expect(
            _METHOD.fullmatch(call.method),
            "calls",
            f"{call.method!r} isn't a method",
            "write it in capitals",
        )
        report.expect(
            call.path_prefix.startswith("/"),
            "calls",
            f"{call.path_prefix!r} isn't a path",
            "start it with '/'",
        )
    _check_whole(service.tokens_per_call, 0, 10**9, "tokens_per_call", report)
    report.expect(
        timedelta(0) < service.timeout <= MAXIMUM_TIMEOUT,
        "timeout",
        f"{service.timeout}",
        "use above 0, at most an hour",
    )


def _check_key(key, known, report):
    _check_reference(key.team, known[Kind.TEAM], "team", report)
    report.expect(
        _DIGEST.fullmatch(key.digest),
        "digest",
        "not a hex SHA-256",
        "store the digest of the key, never the key",
    )


def _check_digests(objects, problems):
    records = {}
    for obj in objects:
        if not isinstance(obj, KeyRecord):
            continue
        other = records.setdefault(obj.digest, obj)
        _Report(obj, problems).expect(
            other is obj,
            "digest",
            f"the same key as {other.name!r}",
            "issue another key",
        )


_CHECKS = {
    Team: _check_team,
    Model: _check_model,
    Adapter: _check_adapter,
    PlainService: _check_service,
    KeyRecord: _check_key,
}
