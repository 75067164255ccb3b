"""A bare pass-through in one file: what the requests' path is measured against."""

import asyncio
import json
import sys

import aiohttp
from aiohttp import web


def make_app(targets: list[str]) -> web.Application:
    """Return an application that hands requests to targets in turn."""
    app = web.Application()
    state = {"next": 0}

    async def sessions(app: web.Application) -> object:
        connector = aiohttp.TCPConnector(limit=0)
        app["session"] = aiohttp.ClientSession(connector=connector)
        yield
        await app["session"].close()

    async def handle(request: web.Request) -> web.StreamResponse:
        state["next"] += 1
        target = targets[state["next"] % len(targets)]
        path = request.raw_path.split("/", 3)[-1]
        body = await request.read()
        async with app["session"].request(
            request.method, f"http://{target}/{path}", data=body or None
        ) as reply:
            response = web.StreamResponse(status=reply.status)
            response.content_length = reply.content_length
            await response.prepare(request)
            async for chunk in reply.content.iter_chunked(65536):
                await response.write(chunk)
            await response.write_eof()
            return response

    app.cleanup_ctx.append(sessions)
    app.router.add_route("*", "/{path:.*}", handle)
    return app


async def main() -> None:
    """Serve until the process is ended."""
    runner = web.AppRunner(make_app(sys.argv[1:]), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(json.dumps({"port": runner.addresses[0][1]}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
