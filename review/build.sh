#!/usr/bin/env bash
# Builds the stand-ins of the review scripts. They are Python programs that need only its standard library, so this checks
# that they compile. The program under test comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py ./*/*.py <<'EOF'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
test -x ../target/src/quetzallift/quetzallift || echo "review/build.sh: the program of the deploy file is not built yet" >&2
