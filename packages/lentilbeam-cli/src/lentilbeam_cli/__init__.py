"""Command line for operators of lentilbeam."""
