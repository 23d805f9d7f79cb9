#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Needs a JDK 25, found as deploy/build.sh finds it.
set -eu
cd "$(dirname "$0")/.."
find_jdk() {
	for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
		if [ -x "$home/bin/javac" ] && [ "$("$home/bin/javac" -version 2>&1 | sed 's/javac \([0-9]*\).*/\1/')" -ge 25 ]; then
			echo "$home"
			return
		fi
	done
	echo "review/build-2.sh: no JDK 25 or later found; set JAVA_HOME" >&2
	exit 1
}
jdk=$(find_jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$jdk/bin/javac" -d target/review-2 review/src-2/Rig.java
