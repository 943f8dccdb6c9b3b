"""Tests of the package ``ownership``."""
