"""Demonstration of a fleet whose processes run on loopback."""
