#!/bin/sh
# Build the stand-ins of the second review: they need no library, only to compile.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'EOF'
import pathlib
for path in sorted([*pathlib.Path('review/rig').glob('*.py'),
                    *pathlib.Path('review').glob('[4-8]/*.py')]):
    compile(path.read_text(), str(path), 'exec')
    print('compiles:', path)
EOF
