"""Routing decisions for forwarded requests; does no network I/O."""
