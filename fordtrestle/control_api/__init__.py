"""HTTP calls of operators and servers to a control process."""
