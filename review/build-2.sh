#!/usr/bin/env bash
# Compiles the stand-ins and clients of the cases 6 to 10; needs JDK 25 or later and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

java_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
  if [ -x "$candidate/bin/javac" ]; then
    major=$(java_major "$candidate")
    if [ "${major:-0}" -ge 25 ]; then
      rm -rf target/review-2
      mkdir -p target/review-2
      "$candidate/bin/javac" -Xlint:all,-try -d target/review-2 review/src-2/review2/*.java
      printf '%s\n' "$candidate" > target/review-2/jdk
      exit 0
    fi
  fi
done
echo "build-2: JDK 25 or later is needed" >&2
exit 1
