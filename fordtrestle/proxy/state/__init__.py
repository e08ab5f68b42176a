"""What must outlive a process: the only code of the program that touches disks for it."""
