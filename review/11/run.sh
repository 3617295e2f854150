#!/usr/bin/env bash
# TROUBLE=0 plays the same without the occurrences of the timed job but eight.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 -B case.py
