"""Tests of scheduling on workers that the leader calls."""
