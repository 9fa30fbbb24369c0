"""Questions to the admin servers of nodes."""

import aiohttp
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import AdminAddress, AdminReply
from verbenadeck.commands._outcomes import CommandError, ExitCode

_TIMEOUT_S = 2.0
_PORTS = range(1, 65_536)


async def ask_admin(place: AdminAddress, path: str) -> Result[AdminReply, str]:
    """Send a GET to an admin server."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return Success(await _get(session, f'http://{place}{path}'))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Failure(f'{place} does not answer: {error!r}')


async def _get(session: aiohttp.ClientSession, url: str) -> AdminReply:
    async with session.get(url, allow_redirects=False) as response:
        return AdminReply(response.status, await response.read())


def parse_admin_address(text: str) -> Result[AdminAddress, CommandError]:
    """Return the address in a text such as 10.0.0.4:7490.

    Examples
    --------
    >>> parse_admin_address('[::1]:7490').unwrap()
    AdminAddress(host='::1', port=7490)
    """
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port) not in _PORTS:
        shown = f'{text!r} is no address of the form HOST:PORT'
        return Failure(CommandError(ExitCode.USAGE, shown))
    return Success(AdminAddress(host.strip('[]'), int(port)))
