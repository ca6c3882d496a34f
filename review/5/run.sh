#!/bin/sh
# Case 5. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/stand-2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec ../../target/review/stand-2 many ../../target record.txt
