"""Leases: what a holder may rely on, and when a grantor may give it away.

The two sides never compare their clocks. A holder counts from the moment it
*sent* its request, the grantor from the later moment at which it *answered*,
and each adds the drift margin in the direction that is safe for the other.
"""

from rhubarbfield.leases.held import HeldLease
from rhubarbfield.leases.table import LeaseLapsed, LeaseTable, UnknownHolder
from rhubarbfield.leases.terms import Lease, LeaseTerms

__all__ = [
    "HeldLease",
    "Lease",
    "LeaseLapsed",
    "LeaseTable",
    "LeaseTerms",
    "UnknownHolder",
]
