"""Behaviour tests, one feature for each guarantee of the system."""
