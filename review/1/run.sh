#!/bin/sh
# Plays the case; TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")/../.." && exec python3 review/1/case.py
