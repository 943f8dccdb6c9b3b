"""Tests of rhubarbfield.controller."""
