#!/usr/bin/env bash
# Runs a case: its class and its folder. Exits with 2 if the stand-ins or the program have not been built.
set -u
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/review-2/jdk ] || [ ! -f target/lacewingstep-0.1.0-SNAPSHOT.jar ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$(cat target/review-2/jdk)/bin/java" -Xmx256m -cp target/review-2 "review2.$1" "review/$2/record.txt"
