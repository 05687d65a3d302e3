"""Demonstration of the whole fleet as plain processes on loopback."""
