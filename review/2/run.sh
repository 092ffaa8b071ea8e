#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk.sh
[ -f target/entry.jar ] && [ -d review/target/classes ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$JAVA_HOME/bin/java" -Xmx1g -cp review/target/classes Polls "$PWD" "$work" review/2/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
