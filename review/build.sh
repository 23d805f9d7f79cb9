#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into review/target/classes. Run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")"
for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
	if [ -x "$home/bin/javac" ] && [ "$("$home/bin/javac" --version | sed 's/[^0-9]*\([0-9]*\).*/\1/')" -ge 25 ]; then
		mkdir -p target/classes
		exec "$home/bin/javac" -Xlint:all,-restricted -d target/classes src/*.java
	fi
done
echo "review/build.sh: no JDK 25 or later found; set JAVA_HOME" >&2
exit 1
