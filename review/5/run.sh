#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-standin ] && [ -x target/banyanplank-entry ] || { echo "build first"; exit 2; }
calm=()
[ "${TROUBLE:-1}" = 0 ] && calm=(--calm)
exec target/review-standin --case cut --target target --record "$here/record.txt" --seed "${SEED:-1}" "${calm[@]}"
