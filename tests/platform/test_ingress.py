"""Tests of the responses to clients."""

from __future__ import annotations

import unittest
from datetime import timedelta
from http import HTTPStatus

from rhubarbfield.leadercalls import NotAdmitted
from rhubarbfield.platform.ingress import make_response
from rhubarbfield.scheduling.gateway import Undecided
from rhubarbfield.scheduling.requests import JobVerb


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


if __name__ == "__main__":
    unittest.main()
