"""Tests of the validation of callers' requests."""

from __future__ import annotations

import unittest
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbfield.callers.parsing import BadRequest, RawRequest, parse_request
from rhubarbfield.routing import (
    CallerRequest,
    Header,
    RoutingSettings,
    ServiceSettings,
)
from rhubarbfield.types import RequestClass, RequestId, ServiceName

SETTINGS = RoutingSettings()
TENANT = Header("rhubarbfield-tenant", "casa")
HEADER_NAMES = (
    "Rhubarbfield-Tenant",
    "Rhubarbfield-Class",
    "Rhubarbfield-Timeout",
    "Idempotency-Key",
    "X-Other",
)


def parse(
    *headers: Header, given_settings: RoutingSettings = SETTINGS, **changes: Any
) -> Result[CallerRequest, BadRequest]:
    fields: dict[str, Any] = {
        "method": "GET",
        "service": "board",
        "path": "/render?size=2",
        "headers": (TENANT, *headers),
        "body": b"",
    }
    raw = RawRequest(**(fields | changes))
    return parse_request(raw, RequestId("r1"), given_settings)


class ParseRequestTest(unittest.TestCase):
    def assert_bad(
        self, result: Result[CallerRequest, BadRequest], field: str, status: int = 400
    ) -> None:
        bad = result.failure()
        self.assertEqual((bad.field, bad.status), (field, status), bad.sentence)

    def test_reads_every_header(self) -> None:
        request = parse(
            Header("Rhubarbfield-Class", "urgent"),
            Header("Rhubarbfield-Timeout", "1.5"),
            Header("Idempotency-Key", '"4e8f"'),
            Header("Accept", "image/png"),
            Header("Connection", "keep-alive"),
            method="POST",
        ).unwrap()
        self.assertEqual(request.request_class, RequestClass.URGENT)
        self.assertEqual(request.timeout, timedelta(seconds=1.5))
        self.assertEqual(request.idempotency_key, "4e8f")
        self.assertEqual(request.headers, (Header("Accept", "image/png"),))
        self.assertFalse(request.idempotent)

    def test_idempotent_methods_can_be_set_for_a_service(self) -> None:
        service_settings = ServiceSettings(
            idempotent_methods=("POST",), non_idempotent_methods=("PUT",)
        )
        given_settings = RoutingSettings(
            services={ServiceName("board"): service_settings}
        )
        for method, idempotent in (("POST", True), ("PUT", False), ("GET", True)):
            request = parse(method=method, given_settings=given_settings).unwrap()
            self.assertEqual(request.idempotent, idempotent)

    def test_an_error_names_the_invalid_header(self) -> None:
        wrong = {
            "Rhubarbfield-Class": ("fast", ""),
            "Rhubarbfield-Timeout": ("0", "-1", "nan", "31", "1e3", "1 s", ""),
            "Idempotency-Key": ("", '""', 'a"b', "é", "k" * 256),
        }
        for name, values in wrong.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    self.assert_bad(parse(Header(name, value)), name)

    def test_an_error_names_the_missing_repeated_or_invalid_part(self) -> None:
        self.assert_bad(parse(headers=()), "Rhubarbfield-Tenant")
        self.assert_bad(parse(TENANT), "Rhubarbfield-Tenant")
        self.assert_bad(parse(service="../etc"), "service")
        self.assert_bad(parse(path="/a b"), "path")
        self.assert_bad(parse(path="/a#b"), "path")

    def test_bounds_every_size(self) -> None:
        self.assert_bad(parse(body=bytes((1 << 20) + 1)), "content", 413)
        self.assert_bad(parse(path="/" + "a" * 8192), "path", 414)
        self.assert_bad(parse(Header("X", "a" * 20000)), "headers", 431)
        many = [Header("X", "")] * 101
        self.assert_bad(parse(*many), "headers", 431)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        headers=st.lists(
            st.builds(Header, st.sampled_from(HEADER_NAMES), st.text(max_size=20)),
            max_size=5,
        ),
        service=st.text(max_size=10),
        path=st.text(max_size=20),
    )
    def test_any_input_gives_a_request_or_a_named_field(
        self, headers: list[Header], service: str, path: str
    ) -> None:
        result = parse(headers=tuple(headers), service=service, path=path)
        if isinstance(result, Failure):
            bad = result.failure()
            self.assertEqual(bad.status, HTTPStatus.BAD_REQUEST)
            self.assertTrue(bad.sentence.isprintable())
        else:
            self.assertIsInstance(result, Success)
            request = result.unwrap()
            self.assertLessEqual(request.timeout, SETTINGS.longest_timeout)
            self.assertTrue(request.path.isascii())
