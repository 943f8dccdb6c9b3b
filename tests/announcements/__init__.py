"""Tests of the package ``announcements``."""
