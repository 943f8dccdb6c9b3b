"""Tests of the package ``workers``."""
