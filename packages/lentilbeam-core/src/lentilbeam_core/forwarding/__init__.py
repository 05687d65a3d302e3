"""Routing decisions for forwarded requests; does no network I/O.

Has no scheduler: each router chooses targets from its own load and that of its
peers.
"""
