"""Several processes of the program, faults between them, and checkers of what they did together."""
