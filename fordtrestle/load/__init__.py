"""An open-loop load generator.

Requests are sent at their intended times, however many are still open, and latency counts from the intended
time, so that the percentiles do not hide slow responses (coordinated omission).
"""
