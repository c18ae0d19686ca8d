#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: Python without libraries, so it
# is only checked that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'P'
import pathlib

for folder in ('stand_ins_3', '11', '12', '13', '14', '15'):
    for path in sorted(pathlib.Path('review', folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
P
