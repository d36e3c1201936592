"""Builds and runs a gateway with the platform's adapters."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from absl import logging
from result import Err

from gooseberrypost.gateway.daemon import GatewayDaemon, serve_until_signal
from gooseberrypost.platform.coordination import (
    PlatformConvictionStore,
    PlatformVersionStore,
    StoreRegistry,
    StoreStageLock,
)
from gooseberrypost.platform.engines import HttpTransport
from gooseberrypost.platform.feeds import StoreFeed
from gooseberrypost.platform.requests import decode_request
from gooseberrypost.platform.settings import decode_settings
from gooseberrypost.platform.store import PlatformStore

if TYPE_CHECKING:
    from pathlib import Path

    from gooseberrypost.settings.gateway import GatewaySettings


async def run(cfg: GatewaySettings, file: Path) -> None:
    """Run a gateway until a signal stops it."""
    store = PlatformStore(cfg.store_address)
    daemon = GatewayDaemon(
        cfg,
        HttpTransport(),
        StoreFeed(store),
        StoreRegistry(store),
        StoreStageLock(store),
        PlatformConvictionStore(store),
        PlatformVersionStore(store),
        decode_request,
        random.Random(),
    )

    def reload() -> None:
        _reload(cfg, file, store)

    await serve_until_signal(daemon, reload)
    await store.close()


def _reload(cfg: GatewaySettings, file: Path, store: PlatformStore) -> None:
    """Read the settings file again and apply the store's address."""
    try:
        text = file.read_text()
    except OSError as exc:
        logging.error("event=reload_failed file=%s detail=%r", file, exc)
        return
    loaded = decode_settings(text, str(file))
    if isinstance(loaded, Err):
        logging.error(
            "event=reload_failed file=%s detail=%r",
            file,
            loaded.err_value.detail,
        )
        return
    store.address = loaded.ok_value.store_address
    logging.info("event=reloaded file=%s store=%s", file, store.address)
