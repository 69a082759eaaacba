"""Fair shares of customers in the capacity of services that lack it."""
