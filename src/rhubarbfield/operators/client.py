"""HTTP client of operators for the controllers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.fleet import CommandRecord
from rhubarbfield.language import Table
from rhubarbfield.operators.failures import FailureKind, OperatorFailure
from rhubarbfield.operators.messages import (
    CommandAnswer,
    CommandRequest,
    FailureAnswer,
    QueryRequest,
)
from rhubarbfield.operators.port import ControllerStatus
from rhubarbfield.settings import Secret

CONNECT_TIMEOUT = timedelta(seconds=2)
ANSWER_TIMEOUT = timedelta(seconds=12)
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_OK = 200
_RETRYABLE_KINDS = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.UNKNOWN_OUTCOME,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.BUSY,
    }
)

AnswerT = TypeVar("AnswerT", bound=msgspec.Struct)


class OperatorsClient:
    """Sends requests to the controllers in turn until one answers.

    It is safe to send a command to several controllers, and again after a lost
    answer: its number ensures that it takes effect only once.

    Parameters
    ----------
    addresses
        Addresses such as ``127.0.0.1:7105``, in the order to try.
    secret
        The shared secret.
    instances
        Address of each instance, used to reach the leader.
    transport
        Replaces the network in tests; None for the network.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        secret: Secret,
        instances: Mapping[str, str] | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._addresses = tuple(addresses)
        self._instances = dict(instances or {})
        timeout = httpx.Timeout(
            ANSWER_TIMEOUT.total_seconds(), connect=CONNECT_TIMEOUT.total_seconds()
        )
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {secret.decode()}"},
            timeout=timeout,
            transport=transport,
            trust_env=False,
        )

    async def __aenter__(self) -> OperatorsClient:
        """Return the client."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def query(self, text: str) -> Result[Table, OperatorFailure]:
        """Send a query; if the answer is stale, send the query to the leader too.

        A stale answer is returned only if the leader can't be asked or fails.

        Parameters
        ----------
        text
            Text of the query.
        """
        body = QueryRequest(text)
        answer = await self._request_any("POST", "/v1/query", Table, body)
        if not (isinstance(answer, Success) and answer.unwrap().stale):
            return answer
        leader = await self._find_leader()
        if leader is None:
            return answer
        content = msgspec.json.encode(body)
        other = await self._request("POST", leader, "/v1/query", content, Table)
        return other if isinstance(other, Success) else answer

    async def command(
        self, operator: str, number: int, text: str
    ) -> Result[CommandRecord, OperatorFailure]:
        """Send a command.

        Parameters
        ----------
        operator, number
            Name of the operator, and number of the command.
        text
            Text of the command.
        """
        body = CommandRequest(operator, number, text)
        answer = await self._request_any("POST", "/v1/command", CommandAnswer, body)
        return answer.map(lambda found: found.record)

    async def get_status(self) -> Result[ControllerStatus, OperatorFailure]:
        """Return the status of the first controller that answers."""
        return await self._request_any("GET", "/v1/status", ControllerStatus)

    async def _find_leader(self) -> str | None:
        status = await self.get_status()
        if not isinstance(status, Success):
            return None
        return self._instances.get(status.unwrap().leader or "")

    async def _request_any(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerT],
        body: msgspec.Struct | None = None,
    ) -> Result[AnswerT, OperatorFailure]:
        content = msgspec.json.encode(body) if body is not None else b""
        failures: list[OperatorFailure] = []
        for address in self._addresses:
            outcome = await self._request(method, address, path, content, answer_type)
            if isinstance(outcome, Success):
                return outcome
            failures.append(outcome.failure())
            if failures[-1].kind not in _RETRYABLE_KINDS:
                break
        return Failure(_choose_failure(failures))

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        content: bytes,
        answer_type: type[AnswerT],
    ) -> Result[AnswerT, OperatorFailure]:
        url = f"http://{address}{path}"
        try:
            async with self._http.stream(method, url, content=content) as response:
                data = await _read_limited(response)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return _fail(
                FailureKind.UNREACHABLE, f"{address} can't be reached: {error}"
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            reason = str(error) or type(error).__name__
            return _fail(
                _classify_lost_answer(path), f"{address} gave no answer: {reason}"
            )
        outcome = _decode(response.status_code, data, answer_type)
        if outcome is None:
            message = f"{address} answered in a way that can't be read"
            return _fail(_classify_lost_answer(path), message)
        return outcome


def _classify_lost_answer(path: str) -> FailureKind:
    if path == "/v1/command":
        return FailureKind.UNKNOWN_OUTCOME
    return FailureKind.UNREACHABLE


async def _read_limited(response: httpx.Response) -> bytes:
    data = bytearray()
    async for chunk in response.aiter_bytes():
        data.extend(chunk)
        if len(data) > MAX_ANSWER_BYTES:
            raise httpx.DecodingError("the answer is too large")
    return bytes(data)


def _decode(
    status: int, data: bytes, answer_type: type[AnswerT]
) -> Result[AnswerT, OperatorFailure] | None:
    try:
        if status == _OK:
            return Success(msgspec.json.decode(data, type=answer_type))
        return Failure(msgspec.json.decode(data, type=FailureAnswer).failure)
    except msgspec.DecodeError:
        return None


def _choose_failure(failures: Sequence[OperatorFailure]) -> OperatorFailure:
    if not failures:
        message = "no controller was named"
        return OperatorFailure(kind=FailureKind.UNREACHABLE, message=message)
    unknown = [one for one in failures if one.kind is FailureKind.UNKNOWN_OUTCOME]
    answered = [one for one in failures if one.kind is not FailureKind.UNREACHABLE]
    return next(iter([*unknown, *reversed(answered), *failures]))


def _fail(kind: FailureKind, message: str) -> Result[AnswerT, OperatorFailure]:
    return Failure(OperatorFailure(kind=kind, message=message))
