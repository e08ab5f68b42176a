"""The engine of one service: the decision module and the driver, which is its only caller."""
