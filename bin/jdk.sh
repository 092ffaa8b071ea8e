# Sourced by the scripts: sets JAVA_HOME to the newest JDK that is at least 21.
REQUIRED_JAVA=21

java_major() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

find_jdk() {
  best=""
  best_major=0
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    major=$(java_major "$home")
    [ -n "$major" ] || continue
    if [ "$major" -ge "$REQUIRED_JAVA" ] && [ "$major" -gt "$best_major" ]; then
      best=$home
      best_major=$major
    fi
  done
  if [ -z "$best" ]; then
    echo "no JDK of version $REQUIRED_JAVA or later found; install one or set JAVA_HOME" >&2
    exit 1
  fi
  JAVA_HOME=$best
  export JAVA_HOME
}

find_jdk
