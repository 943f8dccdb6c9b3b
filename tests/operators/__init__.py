"""Tests of the package ``rhubarbfield.operators``."""
