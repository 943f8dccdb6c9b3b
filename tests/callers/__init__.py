"""Tests of the HTTP adapter for callers."""
