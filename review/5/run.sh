#!/usr/bin/env bash
# Plays the case `refusals` once; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. Build first: the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
program=$folder/../../target/review/review-case
[ -x "$program" ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec "$program" refusals "$folder"
