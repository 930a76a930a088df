#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs that
# use the standard library only, so nothing is compiled; the program under test
# is target/bin/anvild, from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 is needed"'
for File in common-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
test -x ../target/bin/anvild || {
  echo "target/bin/anvild is missing: run the build of deploy/system.toml" >&2
  exit 1
}
