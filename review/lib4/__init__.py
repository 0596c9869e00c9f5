"""Stand-ins and helpers of the scripts of this review, standard library only."""
