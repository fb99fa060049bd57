"""Keep the HTTP library from sending a request twice by itself."""

import aiohttp


async def disable_automatic_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn errors that the library would answer by sending again."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(
            f'connection lost: {type(error).__name__}'
        ) from error
