"""Tests of rhubarbfield.leadercalls."""
