"""Tests of scheduling on workers that the system calls."""
