"""Tests of lentilbeam."""
