"""Which software version began each stream that clients may take up.

Each service has a default version in the store, which holds for every stream
without a record. A stream that begins at another version is recorded in the
store before its first event reaches the client. So the versions outlast all
gateways, and while all servers have one version no stream costs a call.

While records cannot be saved, new streams are bound to the default version,
which needs none. A write without an answer may still be executed later, so a
stream for which one was sent begins at that version or not at all.

Gateways also tell each other the streams that they begin, for times at which
the store does not answer.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from itertools import islice
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure, NotRun, UnknownOutcome
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.streamversions import (
    ServingVersions,
    StreamVersions,
    default_version,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.directory import DefaultVersion

MIN_RETENTION_S: Final = 60.0
"""Shortest time for which the version of a stream is kept."""
RETENTION_FACTOR: Final = 2.0
"""Multiple of the longest route timeout for which it is kept at least.

The deadline of a client may exceed the timeout of its route.
"""
SAVE_BATCH: Final = 32
"""Records in one transaction."""
SAVE_RETRY_S: Final = 0.2
MAINTENANCE_INTERVAL_S: Final = 1.0
MAX_NOTICE_STREAMS: Final = 64
"""Streams in a load notice; the oldest are dropped."""
NOTICE_S: Final = 3.0
"""Time for which notices name a stream; one of them may be lost."""


class VersionUnknown(NotRun):
    """Which version began the stream cannot be told at the moment."""

    code = "version_unknown"


class VersionNotSaved(Failure):
    """The store did not answer, or another gateway was first."""

    code = "version_not_saved"


class VersionNotExecuted(VersionNotSaved):
    """The store has not executed the call, and will not do so later."""

    code = "version_not_executed"


class VersionUnrecorded(UnknownOutcome):
    """The version of a stream cannot be recorded in time.

    A server has run the request, and no part of the answer was sent.
    """

    code = "version_unrecorded"


class VersionStore(ABC):
    """Versions of streams in a store that outlasts the gateways."""

    @abstractmethod
    async def save(self, streams: Mapping[str, str]) -> None:
        """Record the versions of streams.

        Raises ``VersionNotExecuted``, or ``VersionNotSaved`` if the store may
        have executed the call or may do so later.
        """

    @abstractmethod
    async def find(self, stream: str) -> str | None:
        """Return the recorded version of a stream; None if there is none.

        Raises ``VersionNotSaved`` if the store does not answer.
        """

    @abstractmethod
    async def remove(self, streams: Collection[str]) -> None:
        """Remove records; raises ``VersionNotSaved``."""

    @abstractmethod
    async def set_default(
        self, service: str, version: str, replaced: DefaultVersion | None
    ) -> None:
        """Set the default version of a service in place of the known one.

        Raises ``VersionNotSaved``, also if it has changed meanwhile.
        """


def stream_key(service: str, attempt: str) -> str:
    """Return the key of the stream that a client's attempt began."""
    return content_digest(f"stream {service}", attempt.encode()).hex()


class VersionKeeper(Service):
    """Records the versions of streams and finds those of earlier ones."""

    def __init__(self, ctx: GatewayContext, store: VersionStore) -> None:
        super().__init__()
        self._ctx = ctx
        self._store = store
        self._own = StreamVersions(MIN_RETENTION_S)
        """Streams that this gateway began."""
        self._told = StreamVersions(MIN_RETENTION_S)
        """Streams of other gateways, from their notices."""
        self._saved = StreamVersions(MIN_RETENTION_S)
        """Own streams that the store has."""
        self._serving = ServingVersions()
        self._told_serving = ServingVersions()
        """Versions that other gateways have seen, from their notices."""
        self._defaults: dict[str, str] = {}
        """Default versions as last seen, which a restored store may lack."""
        self.mixed: dict[str, set[str]] = {}
        """Versions of each service of which clients may take up several."""
        self._asked = StreamVersions(MIN_RETENTION_S)
        """Streams whose records were asked for."""
        self._unsaved: dict[str, str] = {}
        """Records that the store does not have, with those being saved."""
        self._saving: dict[str, str] = {}
        """Records of the write that is under way."""
        self._doubtful = StreamVersions(MIN_RETENTION_S)
        """Records of writes that failed, and may be executed later."""
        self._waiting: dict[str, asyncio.Future[None]] = {}
        """Streams whose first event waits for the record."""
        self._has_unsaved = asyncio.Event()
        self._is_store_failing = False
        self._era = 0
        """Era of the store in which the records were saved."""

    async def on_started(self) -> None:
        """Save records and keep the defaults until the service stops."""
        metrics = self._ctx.metrics
        self.add_future(keep_running(self, self._save_records, metrics))
        self.add_future(keep_running(self, self._maintain, metrics))
        self.add_future(keep_running(self, self._follow_directory, metrics))

    def required_version(self, service: str, attempt: str) -> str | None:
        """Return the version at which a stream has to begin; None for any.

        It depends on what was asked for the attempt before, and on whether
        records can be saved.
        """
        stream, now_s = stream_key(service, attempt), self._ctx.now_s()
        doubtful = self._doubtful.version_of(stream, now_s)
        if doubtful is not None or not self._is_store_failing:
            return doubtful
        return (
            self._saving.get(stream)
            or self._saved.version_of(stream, now_s)
            or self._default_version(service, now_s)
        )

    def prepare(self, service: str, attempt: str, version: str) -> None:
        """Begin to save that a stream will probably begin at a version."""
        stream, now_s = stream_key(service, attempt), self._ctx.now_s()
        if self._has_other_write(stream, version):
            return
        known = self._saved.version_of(stream, now_s)
        if known is None:
            known = self._default_version(service, now_s)
        if known == version and stream not in self._saving:
            if self._unsaved.get(stream) != version:
                # A record that was not sent yet is not needed any more.
                self._unsaved.pop(stream, None)
            return
        self._asked.record(stream, version, now_s)
        self._unsaved[stream] = version
        self._has_unsaved.set()

    def _default_version(self, service: str, now_s: float) -> str | None:
        """Return the default version of a service, if it is sure to hold.

        Other gateways change it once its servers have been gone for the
        retention time. A gateway that has not heard from the store for so
        long can tell only where all gateways know the same single version.
        """
        directory = self._ctx.directory
        default = directory.default_versions.get(service)
        if default is None:
            return None
        is_heard = directory.freshness.age_s(now_s) <= self._own.retention_s
        if is_heard or self._only_version(service) == default.version:
            return default.version
        return None

    def is_recorded(self, service: str, attempt: str) -> bool:
        """Whether the first event of a stream waits for no record."""
        return stream_key(service, attempt) not in self._unsaved

    async def begin(
        self, service: str, attempt: str, version: str, wait_s: float
    ) -> None:
        """Record that a stream begins, before its first event is sent.

        Raises ``VersionUnrecorded`` if the store does not have the record
        within ``wait_s``, or may get another one later.
        """
        stream = stream_key(service, attempt)
        self.prepare(service, attempt, version)
        if self._has_other_write(stream, version) or (
            stream in self._unsaved
            and not await self._wait_saved(stream, version, wait_s)
        ):
            self._ctx.metrics.count("streams_unrecorded_total")
            logging.warning(
                "event=stream_unrecorded attempt=%s version=%s",
                attempt,
                version,
            )
            raise VersionUnrecorded(f"no record of version {version} in time")
        self._own.record(stream, version, self._ctx.now_s())
        self._ctx.notify_loads_changed()

    def _has_other_write(self, stream: str, version: str) -> bool:
        """Whether the store may still record another version of a stream."""
        doubtful = self._doubtful.version_of(stream, self._ctx.now_s())
        return doubtful not in (None, version)

    async def _wait_saved(
        self, stream: str, version: str, wait_s: float
    ) -> bool:
        """Wait for the record of a stream; returns whether it is saved."""
        fut = self._waiting.setdefault(
            stream, asyncio.get_running_loop().create_future()
        )
        try:
            await asyncio.wait({fut}, timeout=wait_s)
        finally:
            self._waiting.pop(stream, None)
        saved = self._saved.version_of(stream, self._ctx.now_s())
        return (
            saved == version
            and stream not in self._unsaved
            and not self._has_other_write(stream, version)
        )

    async def find(self, service: str, attempt: str) -> str:
        """Return the version that began a stream.

        Raises ``VersionUnknown`` if that cannot be told.
        """
        stream, now_s = stream_key(service, attempt), self._ctx.now_s()
        own = self._own.version_of(stream, now_s)
        if own is not None:
            return own
        directory = self._ctx.directory
        default = directory.default_versions.get(service)
        told = self._told.version_of(stream, now_s)
        try:
            if not attempt:
                raise VersionNotSaved("no attempt named")
            known = [await self._store.find(stream), told]
            if default is not None:
                known.append(default.version)
            detail = "no default version"
        except VersionNotSaved as failure:
            # The default may not hold: the record cannot be read.
            known = [told, directory.stream_versions.get(stream)]
            detail = failure.detail
        for version in known:
            if version is not None:
                return version
        only = self._only_version(service)
        if only is not None:
            return only
        raise VersionUnknown(f"stream of {service}: {detail}")

    def _only_version(self, service: str) -> str | None:
        """Return the version of a service if all gateways know just one."""
        recent = self._recent(service) | self._told_serving.recent(
            service, self._own.retention_s, self._ctx.now_s()
        )
        if len(recent) == 1 and self._hears_all_gateways():
            return recent.pop()
        return None

    def _hears_all_gateways(self) -> bool:
        """Whether all other gateways have told lately what they know.

        Servers of another version may have joined since the store was lost.
        A gateway on which streams began there names the version.
        """
        ctx = self._ctx
        heard = 1 + ctx.loads.peer_count(ctx.now_s())
        return heard >= len(ctx.directory.gateways)

    def apply_versions(self, versions: Mapping[str, Collection[str]]) -> None:
        """Record the versions that another gateway knows of services."""
        now_s = self._ctx.now_s()
        for service, names in versions.items():
            self._told_serving.record_all(service, names, now_s)

    def apply_notice(self, streams: Mapping[str, str]) -> None:
        """Record the streams that another gateway began."""
        now_s = self._ctx.now_s()
        for stream, version in streams.items():
            if self._own.version_of(stream, now_s) is None:
                self._told.record(stream, version, now_s)

    def recent_streams(self) -> dict[str, str]:
        """Return the own streams that load notices are to name."""
        if not self.mixed:
            return {}
        since_s = self._ctx.now_s() - NOTICE_S
        return self._own.since(since_s, MAX_NOTICE_STREAMS)

    async def _save_records(self) -> None:
        while not self.should_stop:
            await self._has_unsaved.wait()
            self._has_unsaved.clear()
            try:
                await self.save_records()
            except VersionNotSaved as failure:
                if not self._is_store_failing:
                    logging.warning(
                        "event=stream_versions_not_saved streams=%d detail=%r",
                        len(self._unsaved),
                        failure.detail,
                    )
                self._drop_expired()
                # Without a record to save, only the next one can show
                # whether the store is back.
                self._is_store_failing = bool(self._unsaved)
                await self.sleep(SAVE_RETRY_S)
                self._has_unsaved.set()

    async def save_records(self) -> None:
        """Save the records that are due; raises ``VersionNotSaved``.

        Streams that begin during a call share the next one.
        """
        while self._unsaved:
            batch = dict(islice(self._unsaved.items(), SAVE_BATCH))
            self._saving = batch
            try:
                await self._store.save(batch)
            except VersionNotExecuted:
                raise
            except BaseException:
                self._record_doubt(batch)
                raise
            finally:
                self._saving = {}
            self._is_store_failing = False
            self._finish(batch)

    def _record_doubt(self, batch: Mapping[str, str]) -> None:
        """Give up other records of streams that a failed write names."""
        now_s = self._ctx.now_s()
        for stream, version in batch.items():
            self._doubtful.record(stream, version, now_s)
            if self._unsaved.get(stream, version) != version:
                del self._unsaved[stream]
                self._wake(stream)

    def _finish(self, batch: Mapping[str, str]) -> None:
        now_s = self._ctx.now_s()
        self._ctx.metrics.count("streams_recorded_total", len(batch))
        for stream, version in batch.items():
            self._saved.record(stream, version, now_s)
            if self._unsaved.get(stream) != version:
                continue
            del self._unsaved[stream]
            self._wake(stream)

    def _wake(self, stream: str) -> None:
        """Let the first event of a stream go on, if it waits."""
        fut = self._waiting.pop(stream, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _drop_expired(self) -> None:
        """Drop records of streams that no client can take up any more."""
        now_s = self._ctx.now_s()
        for stream in list(self._unsaved):
            known = (
                self._asked.version_of(stream, now_s),
                self._saved.version_of(stream, now_s),
            )
            if known == (None, None):
                del self._unsaved[stream]
                self._wake(stream)

    async def _maintain(self) -> None:
        # Gateways that start together would all set the same default.
        await self.sleep(self._ctx.rng.uniform(0, MAINTENANCE_INTERVAL_S))
        while not self.should_stop:
            if self._ctx.directory.is_loaded:
                try:
                    await self.maintain()
                except VersionNotSaved as failure:
                    logging.info(
                        "event=default_version_not_set detail=%r",
                        failure.detail,
                    )
            await self.sleep(MAINTENANCE_INTERVAL_S)

    async def maintain(self) -> None:
        """Set defaults and drop old records; raises ``VersionNotSaved``."""
        self._set_retention()
        self._update_mixed()
        self._save_again_after_restore()
        await self._set_defaults()
        await self._remove_expired()

    def _set_retention(self) -> None:
        timeouts_ms = [
            route.timeout_ms
            for route in self._ctx.directory.configuration.routes
            if route.resumable
        ]
        longest_s = max(timeouts_ms, default=0) / 1_000
        retention_s = max(MIN_RETENTION_S, RETENTION_FACTOR * longest_s)
        for streams in (
            self._own,
            self._told,
            self._saved,
            self._asked,
            self._doubtful,
        ):
            streams.retention_s = retention_s

    def _recent(self, service: str) -> set[str]:
        """Return the versions whose streams clients may still take up."""
        ctx = self._ctx
        now_s = ctx.now_s()
        self._serving.record(ctx.directory.servers.all(), now_s)
        default = ctx.directory.default_versions.get(service)
        if default is not None:
            # A gateway that has just started has not seen its servers leave.
            self._serving.add(service, default.version, now_s)
        return self._serving.recent(service, self._own.retention_s, now_s)

    def _resumable_services(self) -> set[str]:
        """Return the services whose streams clients may take up."""
        return {
            target.service
            for route in self._ctx.directory.configuration.routes
            if route.resumable
            for target in route.targets
        }

    async def _follow_directory(self) -> None:
        while not self.should_stop:
            self._update_mixed()
            await self._ctx.directory.changed()

    def _update_mixed(self) -> None:
        """Find the services with several versions, and tell the others."""
        recent = {
            service: self._recent(service)
            for service in self._resumable_services()
        }
        mixed = {
            service: versions
            for service, versions in recent.items()
            if len(versions) > 1
        }
        if mixed != self.mixed:
            self.mixed = mixed
            self._ctx.notify_loads_changed()

    async def _set_defaults(self) -> None:
        """Set the default versions that are missing or out of use."""
        ctx = self._ctx
        directory = ctx.directory
        services = self._resumable_services()
        for service in services:
            known = directory.default_versions.get(service)
            if known is not None:
                self._defaults[service] = known.version
            current = self._defaults.get(service)
            servers = directory.servers.of(service, ctx.now_s())
            version = default_version(servers, self._recent(service), current)
            if version is None or (known and version == known.version):
                continue
            await self._store.set_default(service, version, known)
            logging.info(
                "event=default_version service=%s version=%s before=%s",
                service,
                version,
                current,
            )

    def _save_again_after_restore(self) -> None:
        """Save the records that a restored store has lost."""
        era = self._ctx.directory.era
        if era != self._era:
            if self._era:
                now_s = self._ctx.now_s()
                since_s = now_s - self._saved.retention_s
                self._unsaved = (
                    self._saved.since(since_s, len(self._saved))
                    | self._unsaved
                )
                self._has_unsaved.set()
            self._era = era

    async def _remove_expired(self) -> None:
        """Remove expired records from the store, at one gateway."""
        directory = self._ctx.directory
        if self._ctx.settings.name != min(directory.gateways, default=""):
            return
        oldest_s = self._ctx.now_s() - self._own.retention_s
        expired = directory.streams_before(oldest_s)
        for start in range(0, len(expired), SAVE_BATCH):
            await self._store.remove(expired[start : start + SAVE_BATCH])
