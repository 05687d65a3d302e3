"""Fault-injection tests with real processes on loopback."""
