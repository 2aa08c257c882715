#!/usr/bin/env bash
# Prepares the stand-ins of the third review's scripts. They are Python programs that use the standard
# library only, so that there is nothing to compile: this checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
