"""Faults put into the code one at a time, to show that the checks can fail."""
