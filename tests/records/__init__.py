"""Tests of the idempotency records."""
