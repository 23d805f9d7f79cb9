#!/usr/bin/env bash
# Builds what the site runs, all under target/: the jar, a Java runtime with only the modules that it needs, and for
# each role an archive of the classes that it loads, made by running it for some seconds on an emulated site with
# many entries.
# An ahead-of-time cache would start faster still, but can't be used where a site sets -Xshare for all of Java.
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
rm -rf target/rt target/training target/*.jsa
"$jdk/bin/jlink" --output target/rt --strip-debug --no-header-files --no-man-pages --generate-cds-archive \
	--add-modules java.base,java.logging,java.naming,java.management,java.xml,java.sql,java.security.jgss,java.security.sasl,jdk.unsupported,jdk.crypto.ec

# The flags that decide what an archive holds must be those of deploy/system.toml. Without a builder the I/O library
# registers no management beans, which nobody reads and which cost a start some 50 ms.
flags="-Djavax.management.builder.initial=none -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData --sun-misc-unsafe-memory-access=allow -Dio.netty.machineId=02:00:00:00:00:01 -Dio.netty.processId=1 -Dwisteriapost.log.target=System.out"
seconds=6
train() {
	WISTERIAPOST_SETTINGS=target/training/$1.json target/rt/bin/java $flags -Xmx128m -XX:ArchiveClassesAtExit="target/$1.jsa" \
		-cp target/wisteriapost.jar org.wisteriapost.app.Main site "$1" >"target/training/$1.log" 2>&1 &
}
"$jdk/bin/java" -cp "target/wisteriapost.jar:app/target/test-classes:platform/target/test-classes" \
	org.wisteriapost.app.TrainingFleet target/training $seconds >target/training.log 2>&1 &
site=$!
for _ in $(seq 100); do
	[ -e target/training/ready ] && break
	sleep 0.1
done
train entry
entry=$!
train agent
agent=$!
wait "$site" || true
kill -TERM "$entry" "$agent" || true
wait "$entry" "$agent" || true
# Without an archive a process starts slower, and as well.
ls -l target/*.jsa || true
