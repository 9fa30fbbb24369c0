"""Plain servers to compare the data path with, one process each."""

import asyncio
import sys
from typing import Any

import aiohttp
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

_App = Sanic[Any, Any]
_BODY = b'.' * 1024


def make_fixed_app() -> _App:
    """Return a sanic server that answers a fixed body."""
    app = Sanic('fixed')

    @app.get('/<path:path>')
    async def answer(_request: Request, path: str) -> HTTPResponse:
        return raw(_BODY)

    return app


def make_proxy_app(target: str) -> _App:
    """Return a plain one-hop proxy of sanic and aiohttp."""
    app = Sanic('proxy')

    @app.before_server_start
    async def connect(running: _App) -> None:
        running.ctx.session = aiohttp.ClientSession()

    @app.after_server_stop
    async def disconnect(running: _App) -> None:
        await running.ctx.session.close()

    @app.get('/<path:path>')
    async def answer(request: Request, path: str) -> HTTPResponse:
        session: aiohttp.ClientSession = request.app.ctx.session
        async with session.get(f'{target}/{path}') as response:
            return raw(await response.read(), status=response.status)

    return app


def main(host: str, port: str, target: str) -> None:
    """Serve the proxy, or the fixed body when there is no target."""
    app = make_proxy_app(target) if target else make_fixed_app()
    app.run(
        host=host,
        port=int(port),
        single_process=True,
        access_log=False,
        motd=False,
    )


if __name__ == '__main__':
    asyncio.set_event_loop(asyncio.new_event_loop())
    main(sys.argv[1], sys.argv[2], sys.argv[3] if len(sys.argv) > 3 else '')
