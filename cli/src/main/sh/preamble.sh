#!/bin/sh
# sesamehead: this shell text is followed by the program's jar. It replaces itself with java.
# SESAMEHEAD_HEAP sets the largest heap (such as 96m); SESAMEHEAD_JAVA_OPTIONS adds JVM options.
REQUIRED_JAVA=21

# Chooses the newest JDK of at least REQUIRED_JAVA by the version in its release file.
best=""
best_major=0
for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
  [ -n "$home" ] && [ -x "$home/bin/java" ] && [ -r "$home/release" ] || continue
  major=0
  while IFS='=' read -r key value; do
    if [ "$key" = JAVA_VERSION ]; then
      major=${value#\"}
      major=${major%%[!0-9]*}
    fi
  done < "$home/release"
  if [ "${major:-0}" -ge "$REQUIRED_JAVA" ] && [ "$major" -gt "$best_major" ]; then
    best=$home
    best_major=$major
  fi
done
if [ -z "$best" ]; then
  echo "sesamehead: no JDK of version $REQUIRED_JAVA or later found; install one or set JAVA_HOME" >&2
  exit 1
fi

# The daemon's heap is small because its control work must fit in 64 MB; the other programs are short-lived.
case "${1:-}" in
  daemon) heap=${SESAMEHEAD_HEAP:-64m} ;;
  load | report) heap=${SESAMEHEAD_HEAP:-256m} ;;
  *) heap=${SESAMEHEAD_HEAP:-96m} ;;
esac
options="-Xmx$heap -Xss512k -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError -Djava.awt.headless=true"
# Without the optimising compiler a daemon of the demo fleet needs a third less memory and CPU time; only the load tool
# runs hot enough to gain from it. A later option in SESAMEHEAD_JAVA_OPTIONS wins.
case "${1:-}" in
  load) ;;
  *) options="$options -XX:TieredStopAtLevel=1" ;;
esac
# Each malloc arena keeps freed memory to itself.
export MALLOC_ARENA_MAX="${MALLOC_ARENA_MAX:-2}"
if [ "$best_major" -ge 25 ]; then
  options="$options -XX:+UseCompactObjectHeaders"
fi
if [ "$best_major" -ge 24 ]; then
  options="$options --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow"
fi
# shellcheck disable=SC2086
exec "$best/bin/java" $options ${SESAMEHEAD_JAVA_OPTIONS:-} -jar "$0" "$@"
