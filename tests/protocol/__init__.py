"""Tests of rhubarbfield.protocol."""
