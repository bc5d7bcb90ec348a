"""The HTTP port for operators: status, health, explanations and metrics."""

import dataclasses
import enum
from datetime import timedelta

import orjson
from balsamspoke_types.identifiers import AdapterRef, AttemptId, ProcessId
from twisted.web.http import SERVICE_UNAVAILABLE
from twisted.web.resource import NoResource, Resource
from twisted.web.server import Site

_IDENTIFIERS = (ProcessId, AttemptId, AdapterRef)


def encode_json(document):
    """Return a document as JSON bytes.

    Parameters
    ----------
    document : object
        Nested containers of JSON values, data classes, enum members, timedeltas and
        identifiers. Timedeltas are written in seconds, identifiers as text.
    """
    return orjson.dumps(
        _to_json_value(document), option=orjson.OPT_NON_STR_KEYS | orjson.OPT_SORT_KEYS
    )


def _to_json_value(value):
    if isinstance(value, _IDENTIFIERS):
        return str(value)
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return {
            field.name: _to_json_value(getattr(value, field.name)) for field in fields
        }
    if isinstance(value, dict):
        return {
            _to_json_value(key): _to_json_value(item) for key, item in value.items()
        }
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_to_json_value(item) for item in value]
    return value


class _JsonPage(Resource):
    isLeaf = True

    def __init__(self, describe):
        super().__init__()
        self._describe = describe

    def render_GET(self, request):
        request.setHeader(b"content-type", b"application/json")
        return encode_json(self._describe())


class _TextPage(Resource):
    isLeaf = True

    def __init__(self, content_type, read):
        super().__init__()
        self._content_type = content_type
        self._read = read

    def render_GET(self, request):
        request.setHeader(b"content-type", self._content_type)
        return self._read()


class _ReadyPage(Resource):
    isLeaf = True

    def __init__(self, is_ready):
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request):
        if not self._is_ready():
            request.setResponseCode(SERVICE_UNAVAILABLE)
            return b"no"
        return b"ok"


class _ExplainPage(Resource):
    def __init__(self, find):
        super().__init__()
        self._find = find

    def getChild(self, path, request):
        explanation = self._find(path.decode("utf-8", "replace"))
        if explanation is None:
            return NoResource("this process knows of no such request")
        return _JsonPage(lambda: explanation)


def make_status_site(describe, metrics, is_ready, explain=None):
    """Return the Site of the operators' port.

    Parameters
    ----------
    describe : callable
        Returns the document of ``/status``; called without arguments.
    metrics : callable
        Returns the bytes of ``/metrics``; called without arguments.
    is_ready : callable
        Returns whether ``/health/ready`` answers 200 rather than 503.
    explain : callable, optional
        Takes the request id of ``/explain/ID``; returns a data class, or None for 404.
    """
    root = Resource()
    root.putChild(b"status", _JsonPage(describe))
    root.putChild(b"metrics", _TextPage(b"text/plain; version=0.0.4", metrics))
    health = Resource()
    health.putChild(b"ready", _ReadyPage(is_ready))
    root.putChild(b"health", health)
    if explain is not None:
        root.putChild(b"explain", _ExplainPage(explain))
    site = Site(root)
    site.log = lambda request: None
    return site


def describe_entry(node, transport):
    """Return the status document of an entry process.

    Parameters
    ----------
    node : EntryNode
        The node of the process.
    transport : GrpcTransport
        Counts the bytes exchanged with peers.
    """
    return {
        **_describe_process(node, transport, "entry"),
        "ready": node.is_ready,
        "running_requests": node.running_requests,
        "replicas": node.directory.describe(),
        "budgets": node.budgets.describe(),
    }


def describe_side(node, transport):
    """Return the status document of a side process.

    Parameters
    ----------
    node : SideNode
        The node of the process.
    transport : GrpcTransport
        Counts the bytes exchanged with peers.
    """
    replica = node.replica
    return {
        **_describe_process(node, transport, "side"),
        "ready": node.is_ready,
        "service": node.identity.service,
        "replica": replica.describe() if replica is not None else None,
    }


def _describe_process(node, transport, role):
    return {
        "process": node.process,
        "role": role,
        "region": node.identity.region,
        "failure_domain": node.identity.failure_domain,
        "catalogue_revision": node.catalogue.view.revision,
        "catalogue_complete": node.catalogue.view.is_complete,
        "members": node.membership.members(),
        "peer_bytes_sent": transport.count_bytes_sent(),
        "peer_bytes_received": transport.bytes_received,
    }
