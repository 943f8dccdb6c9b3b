"""Tests of the measurements of the program."""
