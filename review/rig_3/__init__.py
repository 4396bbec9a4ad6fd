"""Stand-ins and helpers of the scripts in review/11 to review/15; standard library only."""
