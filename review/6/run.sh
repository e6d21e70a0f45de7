#!/usr/bin/env bash
# Plays the case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/currantd target/review-2/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin held review/6/record.txt
