"""Decisions on requests that are forwarded as they are, without sockets."""
