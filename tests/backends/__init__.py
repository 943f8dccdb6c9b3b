"""Tests of the adapter for backend servers."""
