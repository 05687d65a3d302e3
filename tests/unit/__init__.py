"""Unit and property tests."""
