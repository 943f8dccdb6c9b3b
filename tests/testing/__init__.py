"""Tests of the package ``testing``."""
