"""Tests of the program as separate processes on loopback."""
