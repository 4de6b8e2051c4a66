#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the SIGTERM out.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/tarragonfront ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/standin drain "$case/record.txt" "$folder"
