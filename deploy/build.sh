#!/usr/bin/env bash
# Builds the deployment artifacts under target/: the jar, a jlink runtime with only the required modules, and one CDS
# archive per role, recorded by running the role for a few seconds on an emulated site with many entries.
# CDS archives are used instead of an AOT cache, which starts faster but does not work at a site that sets -Xshare
# for all Java processes.
set -eu
cd "$(dirname "$0")/.."
find_jdk() {
	for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
		if [ -x "$home/bin/jlink" ] && [ "$("$home/bin/jlink" --version | cut -d. -f1)" -ge 25 ]; then
			echo "$home"
			return
		fi
	done
	echo "deploy/build.sh: no JDK 25 or later with jlink found; set JAVA_HOME" >&2
	exit 1
}
jdk=$(find_jdk)
# CI runs the formatter, the linter and the tests.
mvn -q -B -DskipTests -Dcheckstyle.skip=true -Dspring-javaformat.validate.skip=true -pl app -am package
mkdir -p target
cp app/target/app-*-all.jar target/wisteriapost.jar
rm -rf target/rt target/training target/*.jsa
"$jdk/bin/jlink" --output target/rt --strip-debug --no-header-files --no-man-pages --generate-cds-archive \
	--add-modules java.base,java.logging,java.naming,java.management,java.xml,java.sql,java.security.jgss,java.security.sasl,jdk.unsupported,jdk.crypto.ec

# Flags that affect the content of an archive must match deploy/system.toml. javax.management.builder.initial=none
# keeps the I/O library from registering MBeans, which nothing reads and which add about 50 ms to startup.
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
# The archives are optional: without one a process only starts more slowly.
ls -l target/*.jsa || true
