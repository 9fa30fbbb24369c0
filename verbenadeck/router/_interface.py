"""Interface of the request router."""

from typing import Protocol

from verbenadeck.model import AnswerResult, Request


class Router(Protocol):
    """Router of callers' requests to proxies, with retries and hedges."""

    async def route(self, request: Request) -> AnswerResult:
        """Route a request and return the whole answer or a refusal.

        Parameters
        ----------
        request : Request
            Request with its absolute deadline.
        """
        ...
