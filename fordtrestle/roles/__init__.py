"""The roles of the system's processes; each role wires up its components and runs them."""
