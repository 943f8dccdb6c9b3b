"""Tests of replayed traces."""
