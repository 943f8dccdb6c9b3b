"""Tests of the transport between processes."""
