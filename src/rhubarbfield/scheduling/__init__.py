"""Scheduling of jobs that consist of steps, on workers that the leader calls."""
