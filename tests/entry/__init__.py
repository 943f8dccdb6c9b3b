"""Tests of rhubarbfield.entry."""
