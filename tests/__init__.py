"""Tests of rhubarbfield, in folders that mirror the package."""
