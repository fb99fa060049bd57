"""Publish a configuration with the package that daemons are started from."""

import asyncio
import sys

from currantspur.platform import publish
from currantspur.settings import read_configuration
from currantspur.wire.platform_http import PlatformClient, open_platform


async def run(address: str, version: int) -> None:
    """Publish what stands on the standard input on top of a version."""
    configuration = read_configuration(sys.stdin.read())
    client = PlatformClient(address)
    try:
        await publish(
            open_platform(client),
            configuration,
            author='bench',
            change_id=f'bench-{version}',
            base_version=version,
        )
    finally:
        await client.close()


if __name__ == '__main__':
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
