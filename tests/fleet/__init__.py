"""Tests of the package ``rhubarbfield.fleet``."""
