"""Disable the automatic retry of the HTTP client library."""

import aiohttp


async def disable_automatic_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the errors after which aiohttp would retry a request.

    Raise ClientConnectionError in their place. A ClientConnectorError, raised
    when no connection was opened, is passed on unchanged.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(
            f'connection lost: {type(error).__name__}'
        ) from error
