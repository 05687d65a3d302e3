"""Measurements of lentilbeam."""
