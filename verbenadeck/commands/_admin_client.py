"""HTTP client for the admin servers of nodes."""

import aiohttp
from returns.result import Failure, Result, Success

from verbenadeck.commands._command import AdminAddress, AdminReply
from verbenadeck.commands._outcomes import CommandError, ExitCode

_REQUEST_TIMEOUT_S = 2.0
_VALID_PORTS = range(1, 65_536)


async def send_admin_get(
    address: AdminAddress, path: str
) -> Result[AdminReply, str]:
    """Send a GET request to an admin server.

    Parameters
    ----------
    address : AdminAddress
        Address of the admin server.
    path : str
        URL path with query.

    Returns
    -------
    Result of AdminReply or str
        The response of any status, or an error text without a response
        within 2 s.
    """
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return Success(await _get(session, f'http://{address}{path}'))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Failure(f'{address} does not answer: {error!r}')


async def _get(session: aiohttp.ClientSession, url: str) -> AdminReply:
    async with session.get(url, allow_redirects=False) as response:
        return AdminReply(response.status, await response.read())


def parse_admin_address(text: str) -> Result[AdminAddress, CommandError]:
    """Parse an address such as 10.0.0.4:7490.

    Parameters
    ----------
    text : str
        Host and port; an IPv6 host stands in brackets.

    Examples
    --------
    >>> parse_admin_address('[::1]:7490').unwrap()
    AdminAddress(host='::1', port=7490)
    """
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or int(port) not in _VALID_PORTS:
        error_text = f'{text!r} is not an address of the form HOST:PORT'
        return Failure(CommandError(ExitCode.USAGE, error_text))
    return Success(AdminAddress(host.strip('[]'), int(port)))
