"""Tests of the durable storage."""
