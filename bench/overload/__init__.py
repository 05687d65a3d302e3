"""Simulates admission and placement under load, in virtual time."""
