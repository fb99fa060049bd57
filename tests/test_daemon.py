from contextlib import AsyncExitStack

import pytest

from currantspur.daemon import Daemon
from currantspur.errors import ListenError
from currantspur.settings import DaemonSettings
from currantspur.standins.fleet import Fleet


@pytest.mark.parametrize('taken', ['listen', 'admin', 'peer'])
async def test_an_address_in_use_leaves_nothing_open(taken):
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.open_daemons(('north-1',))
        other = fleet.daemons[0].settings
        names = ('listen', 'admin', 'peer')
        free = {name: await fleet.find_free_address() for name in names}
        addresses = {**free, taken: getattr(other, taken)}
        daemon = Daemon(
            DaemonSettings(
                instance='entry-2',
                availability_zone='north-1',
                platform=other.platform,
                **addresses,
            )
        )
        with pytest.raises(ListenError, match=addresses[taken]):
            await daemon.start()
        assert daemon.client.session.closed
        assert not daemon.runners
