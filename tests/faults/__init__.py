"""Faults injected into the code one at a time, to show that the tests detect them."""
