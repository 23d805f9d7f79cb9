#!/bin/sh
# Launcher that is prepended to the jar: replaces itself with Java 25 or later.
# Search order: WISTERIAPOST_JAVA, JAVA_HOME, PATH, /usr/lib/jvm.
works() {
	[ -x "$1" ] || return 1
	major=$("$1" -version 2>&1 | sed -n '1s/[^"]*"\([0-9]*\).*/\1/p')
	[ "${major:-0}" -ge 25 ]
}
for java in "$WISTERIAPOST_JAVA" "$JAVA_HOME/bin/java" "$(command -v java)" /usr/lib/jvm/*/bin/java; do
	if works "$java"; then
		# UsePerfData would map a shared file. The serial collector and C1 reduce the memory of an idle process.
		exec "$java" -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto \
			--sun-misc-unsafe-memory-access=allow ${WISTERIAPOST_JAVA_OPTIONS:--Xmx256m} -jar "$0" "$@"
	fi
done
echo "wisteriapost: no Java 25 or later found; set WISTERIAPOST_JAVA to a java program, or JAVA_HOME to a JDK." >&2
exit 2
