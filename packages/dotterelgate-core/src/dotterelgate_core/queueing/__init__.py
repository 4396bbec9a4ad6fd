"""Order in which waiting requests get slots: by rank, and fairly between organisations."""
