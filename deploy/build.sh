#!/usr/bin/env bash
# Builds what the site runs: the jar and a Java runtime with only the modules that it needs, both under target/.
set -eu
cd "$(dirname "$0")/.."
find_jdk() {
	for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
		if [ -x "$home/bin/jlink" ] && [ "$("$home/bin/jlink" --version | cut -d. -f1)" -ge 25 ]; then
			echo "$home"
			return
		fi
	done
	echo "no JDK 25 or later: set JAVA_HOME" >&2
	exit 1
}
jdk=$(find_jdk)
# Formatter, linter and tests run in CI, not here.
mvn -q -B -DskipTests -Dcheckstyle.skip=true -Dspring-javaformat.validate.skip=true -pl app -am package
mkdir -p target
cp app/target/app-*-all.jar target/wisteriapost.jar
rm -rf target/rt
"$jdk/bin/jlink" --output target/rt --strip-debug --no-header-files --no-man-pages \
	--add-modules java.base,java.logging,java.naming,java.management,java.xml,java.sql,java.security.jgss,java.security.sasl,jdk.unsupported,jdk.crypto.ec
