"""Tests of rhubarbfield.workers."""
