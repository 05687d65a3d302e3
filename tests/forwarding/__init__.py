"""Forwarding of opaque requests."""
