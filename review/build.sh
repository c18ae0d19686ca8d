#!/bin/bash
# Builds the stand-ins: they are plain Python, so they are only compiled.
cd "$(dirname "$0")" || exit 1
python3 -m compileall -q stand_ins [1-5]
