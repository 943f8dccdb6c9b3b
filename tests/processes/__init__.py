"""Tests with the real program as separate processes on loopback."""
