"""Tests of the HTTP adapter for backend servers."""
