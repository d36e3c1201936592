"""Load notices and the link of their gateway."""

from __future__ import annotations

import asyncio

from gooseberrypost.gateway.notices import decode_notice
from gooseberrypost.policy.noticepace import HEADER_BYTES
from tests.gateway_kit import version_notice
from tests.test_gateway_clients import run

LINK_BYTES_PER_S = 40_000
BUSY_S = 1.5
HALF = 0.5


class Peer(asyncio.DatagramProtocol):
    """Receives the notices that a gateway sends to another one."""

    def __init__(self):
        self.notices: list[bytes] = []

    def datagram_received(self, data, addr):
        self.notices.append(data)


async def notices_of_a_busy_gateway(kit) -> list[bytes]:
    """Return what is sent while the load changes all the time."""
    loop = asyncio.get_running_loop()
    peer = Peer()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: peer, local_addr=("127.0.0.1", 0)
    )
    address = transport.get_extra_info("sockname")
    kit.daemon.peers.datagram_received(version_notice(3, 1), address)
    end_s = loop.time() + BUSY_S
    while loop.time() < end_s:
        kit.daemon.context.notify_loads_changed()
        await asyncio.sleep(0)
    # What waits for its turn is sent, so that the last change is known.
    await asyncio.sleep(1.0)
    transport.close()
    return peer.notices


def test_load_notices_leave_the_link_to_requests():
    """Guards against requests that wait for seconds behind notices.

    The end of a request whose client has left waits there, too.
    """

    async def work(kit):
        notices = await notices_of_a_busy_gateway(kit)
        size = sum(len(data) + HEADER_BYTES for data in notices)
        assert size <= HALF * LINK_BYTES_PER_S * (BUSY_S + 1.0)
        sequences = [decode_notice(data).sequence for data in notices]
        assert sequences == sorted(sequences)
        # Others drop a load of which they have heard nothing for a second.
        assert len(notices) >= BUSY_S / HALF

    run(work, link_bytes_per_s=LINK_BYTES_PER_S)


def test_load_notices_are_not_delayed_on_a_link_of_unknown_rate():
    """Guards against other gateways that choose by an old load."""

    async def work(kit):
        notices = await notices_of_a_busy_gateway(kit)
        assert len(notices) > 100 * BUSY_S

    run(work)
