#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the instances. Their stand-ins are Python programs, so
# this only checks that they can be read. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/pistachiofall
for file in harness-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
