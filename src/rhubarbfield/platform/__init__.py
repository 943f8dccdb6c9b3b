"""Adapter that translates between the users' platform and the scheduler.

It contains no scheduling decisions.
"""
