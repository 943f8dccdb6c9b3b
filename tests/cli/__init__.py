"""Tests of the package ``rhubarbfield.cli``."""
