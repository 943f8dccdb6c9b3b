"""Tests of the package ``rhubarbfield.language``."""
