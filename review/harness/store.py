"""Stand-in of the platform's store: objects by kind and name, with watches."""

import asyncio
import json

from .http import Server, format_json


class Store(Server):
    """A sound store with a single era.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._silent = set()
        self._never = asyncio.Event()
        self.watch_started_at = {}

    def put(self, kind, name, spec):
        """Create or replace an object."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._publish(kind, stored, False)

    def remove(self, kind, name):
        """Remove an object, if it exists."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, True)

    def list_names(self, kind):
        """Return the names of a kind's objects."""
        return list(self._objects.get(kind, {}))

    def silence_connections(self):
        """Answer nothing more on the open connections; return their number.

        They stay open, and new ones work.
        """
        self._silent |= self.writers
        return len(self.writers)

    def _publish(self, kind, stored, is_removed):
        event = {"object": stored, "removed": is_removed}
        self._events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, request, reader, writer):
        """Answer a call."""
        if writer in self._silent:
            await self._never.wait()
        parts = request.path.split("/")
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        if request.method == "GET" and name is None and "watch" in request.query:
            self.watch_started_at[kind] = asyncio.get_running_loop().time()
            status, content = await self._watch(kind, request.query)
        elif request.method == "GET":
            status, content = self._read(kind, name, request.query)
        elif request.method == "DELETE":
            self.remove(kind, name)
            status, content = 200, {}
        else:
            status, content = self._write(request, kind)
        if writer in self._silent:
            await self._never.wait()
        writer.write(format_json(status, content))
        await writer.drain()
        return True

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event for at, of, event in self._events if at > since and of == kind
            ]
            left = ends_at - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _read(self, kind, name, query):
        objects = self._objects.get(kind, {})
        if name is not None:
            found = objects.get(name)
            return (404, {}) if found is None else (200, found)
        names = sorted(each for each in objects if each > query.get("after", ""))
        page = [objects[each] for each in names[:500]]
        has_more = len(names) > len(page)
        return 200, {"items": page, "has_more": has_more, "at": self.revision}

    def _write(self, request, kind):
        content = json.loads(request.body)
        metadata = content["metadata"]
        name = metadata["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is None and request.method == "PUT":
            return 404, {}
        expected = metadata.get("revision")
        is_stale = known is not None and expected not in (
            None,
            known["metadata"]["revision"],
        )
        if is_stale or (known is not None and request.method == "POST"):
            return 409, known
        self.put(kind, name, content.get("spec"))
        return 200, self._objects[kind][name]
