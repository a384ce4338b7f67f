#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
jar=target/lacewingstep-0.1.0-SNAPSHOT.jar
if [ ! -f "$jar" ] || [ ! -f "review/target/classes/review/$1.class" ]; then
  echo "could not run: build the project and then review/build.sh"
  exit 2
fi
timeout --signal=TERM --kill-after=3 115 "$java" -Xmx512m -cp "review/target/classes:$jar" review.Main "$1" "$2"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
