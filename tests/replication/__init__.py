"""Tests of the replicated log."""

import logging

logging.getLogger("rhubarbfield.replication").propagate = False
logging.getLogger("rhubarbfield.replication").addHandler(logging.NullHandler())
