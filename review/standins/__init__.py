"""Stand-ins and helpers of the cases in `review/`; standard library only."""
