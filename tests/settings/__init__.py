"""Tests of the package ``rhubarbfield.settings``."""
