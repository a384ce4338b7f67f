#!/usr/bin/env bash
# Builds the stand-ins of the review's cases; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
rm -rf review/target
mkdir -p review/target/classes
"$(dirname "$java")/javac" -Xlint:all -Xlint:-this-escape -Xlint:-processing -cp target/lacewingstep-0.1.0-SNAPSHOT.jar -proc:none \
  -d review/target/classes review/src/review/*.java
