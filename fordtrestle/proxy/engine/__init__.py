"""One service: the decision module and the driver that alone calls it."""
