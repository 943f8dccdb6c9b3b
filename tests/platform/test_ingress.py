"""Tests of the responses to clients."""

from __future__ import annotations

import unittest
from datetime import timedelta
from http import HTTPStatus
from unittest.mock import AsyncMock, Mock

import trio

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.httpserver import HttpRequest
from rhubarbfield.leadercalls import NotAdmitted
from rhubarbfield.platform.ingress import (
    DEFAULT_DEADLINE,
    MAX_DEADLINE_MS,
    create_ingress_handler,
    make_response,
)
from rhubarbfield.scheduling.gateway import Gateway, Undecided
from rhubarbfield.scheduling.requests import Accepted, JobVerb


class ResponsesTest(unittest.TestCase):
    def test_only_what_may_have_taken_effect_gets_504(self) -> None:
        """A refusal by 503 tells the caller that nothing was done."""
        for verb, in_doubt, status in (
            (JobVerb.SUBMIT, True, HTTPStatus.GATEWAY_TIMEOUT),
            (JobVerb.SUBMIT, False, HTTPStatus.SERVICE_UNAVAILABLE),
            (JobVerb.CANCEL, True, HTTPStatus.GATEWAY_TIMEOUT),
            (JobVerb.CANCEL, False, HTTPStatus.SERVICE_UNAVAILABLE),
            (JobVerb.READ, True, HTTPStatus.SERVICE_UNAVAILABLE),
            (JobVerb.READ, False, HTTPStatus.SERVICE_UNAVAILABLE),
        ):
            undecided = Undecided(in_doubt, timedelta(seconds=1))
            response = make_response(verb, undecided)
            self.assertEqual(response.status, status, (verb, in_doubt))
            self.assertEqual(response.headers["Retry-After"], "1")

    def test_rejected_job_gets_503_and_the_time_to_return(self) -> None:
        response = make_response(
            JobVerb.SUBMIT, NotAdmitted("no capacity", timedelta(seconds=9.5))
        )
        self.assertEqual(response.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(response.headers["Retry-After"], "10")
        self.assertIn(b"no capacity", response.body)

    def test_job_with_a_number_out_of_range_is_not_sent_to_a_controller(self) -> None:
        """The number could not be encoded, which ended the entry."""
        body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":100000000000000000000}]}'
        request = HttpRequest(method="POST", path="/q/j", headers={}, body=body)
        gateway = Mock(Gateway, is_stopping=False)
        with self.assertLogs("rhubarbfield.platform.ingress", "WARNING"):
            response = trio.run(create_ingress_handler(gateway), request)
        self.assertEqual(response.status, HTTPStatus.BAD_REQUEST)
        self.assertIn(b"<= 9223372036854775807 - at `$.Steps[0].Cpu`", response.body)
        gateway.forward.assert_not_called()

    def test_client_may_wait_for_as_long_as_it_likes(self) -> None:
        """A deadline that is no valid duration got 500."""
        for header, expected in (
            ("250", 250),
            ("9" * 18, MAX_DEADLINE_MS),
            ("9" * 5000, MAX_DEADLINE_MS),
            ("-1", DEFAULT_DEADLINE / MILLISECOND),
        ):
            gateway = Mock(Gateway, is_stopping=False)
            gateway.forward = AsyncMock(return_value=Accepted())
            request = HttpRequest(
                method="DELETE",
                path="/q/j",
                headers={"x-deadline-ms": header},
                body=b"",
            )
            response = trio.run(create_ingress_handler(gateway), request)
            self.assertEqual(response.status, HTTPStatus.OK)
            timeout = gateway.forward.call_args.args[1]
            self.assertEqual(timeout / MILLISECOND, expected)


if __name__ == "__main__":
    unittest.main()
