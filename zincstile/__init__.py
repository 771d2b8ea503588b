"""zincstile: the decisions of an admission gateway for a service sold by plan."""
