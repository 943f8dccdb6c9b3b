"""Measurements that speak for or against the choices made in the design."""
