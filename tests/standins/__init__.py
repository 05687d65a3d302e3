"""Stand-ins for the systems outside lentilbeam."""
