#!/bin/sh
# Launcher and jar in one file: finds a Java of version 25 or later and becomes it.
# Looked for in order: WISTERIAPOST_JAVA, JAVA_HOME, the path, /usr/lib/jvm.
works() {
	[ -x "$1" ] || return 1
	major=$("$1" -version 2>&1 | sed -n '1s/[^"]*"\([0-9]*\).*/\1/p')
	[ "${major:-0}" -ge 25 ]
}
for java in "$WISTERIAPOST_JAVA" "$JAVA_HOME/bin/java" "$(command -v java)" /usr/lib/jvm/*/bin/java; do
	if works "$java"; then
		# UsePerfData would map a shared file; the serial collector and C1 keep an idle process small.
		exec "$java" -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto \
			--sun-misc-unsafe-memory-access=allow ${WISTERIAPOST_JAVA_OPTIONS:--Xmx256m} -jar "$0" "$@"
	fi
done
echo "wisteriapost needs Java 25 or later: set WISTERIAPOST_JAVA to its java program, or JAVA_HOME to its folder." >&2
exit 2
