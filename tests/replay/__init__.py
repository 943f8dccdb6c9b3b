"""Tests of the replay of traces."""
