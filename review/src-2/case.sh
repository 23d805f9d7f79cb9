#!/usr/bin/env bash
# Runs one case: case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
name=$1
folder=$(cd "$2" && pwd)
repo=$(cd "$(dirname "$0")/../.." && pwd)
if [ ! -d "$repo/target/review-2" ] || [ ! -x "$repo/target/rt/bin/java" ]; then
	echo "run deploy/build.sh and review/build-2.sh first" >&2
	exit 2
fi
work=$(mktemp -d) || exit 2
rm -f "$folder/record.txt"
pid=
end() {
	if [ -n "$pid" ]; then
		kill "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	fi
	rm -rf "$work"
}
trap end EXIT
trap 'exit 2' TERM INT
"$repo/target/rt/bin/java" -Xmx256m -cp "$repo/target/review-2" Rig "$name" "$repo" "$work" "$folder/record.txt" &
pid=$!
wait "$pid"
result=$?
pid=
tail -n 3 "$folder/record.txt"
# A program that can't start ends with 1 as well.
case $result in
0) grep -q "RESULT the rule held" "$folder/record.txt" && exit 0 ;;
1) grep -q "RESULT the rule is broken" "$folder/record.txt" && exit 1 ;;
esac
exit 2
