#!/usr/bin/env bash
# Runs the case left-server. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/lagoonbarrow ] || { echo "run the build line of deploy/system.toml first"; exit 2; }
exec review/bin/standin left-server "$folder/record.txt"
