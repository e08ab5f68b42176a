"""A deployment of the whole system on loopback: stand-in model servers, operator and clients round real
processes.
"""
