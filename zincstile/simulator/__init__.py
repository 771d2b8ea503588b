"""The operators' simulator: the codec of its wire, and the program that speaks it on standard streams."""
