#!/bin/sh
# Builds the image of an entry VM under target/: a small runtime, the program's libraries, and a class-data archive that
# halves the processor time until a daemon is ready.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk.sh

java_options="-Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 --sun-misc-unsafe-memory-access=allow"
image=target/image
libraries=target/libraries
program=target/entry.jar
archive=target/entry.jsa
training=target/training

build_jars() {
  rm -rf platform/target/libraries
  mvn -B -ntp -q -pl platform -am package -DskipTests
  rm -rf "$libraries"
  mkdir -p "$libraries"
  cp platform/target/libraries/*.jar platform/target/platform-*.jar "$libraries/"
}

# The manifest fixes the order of the class path, which the archive depends on.
build_program() {
  mkdir -p "$training"
  {
    echo "Main-Class: io.sesamehead.platform.PlatformDaemon"
    echo "Enable-Native-Access: ALL-UNNAMED"
    echo "Class-Path: "
    (cd target && ls libraries/*.jar) | sed 's/^/  /;s/$/ /'
  } > "$training/manifest"
  rm -f "$program"
  "$JAVA_HOME/bin/jar" --create --file "$program" --manifest "$training/manifest"
}

build_runtime() {
  rm -rf "$image"
  "$JAVA_HOME/bin/jlink" \
    --add-modules java.base,java.logging,java.management,jdk.unsupported \
    --strip-debug --no-header-files --no-man-pages --generate-cds-archive \
    --output "$image" > /dev/null
}

# Runs the daemon with stand-ins for the platform, a peer and engines; the classes that it loads go into the archive when
# it stops.
build_archive() {
  rm -f "$archive"
  "$JAVA_HOME/bin/java" -cp "platform/target/test-classes:$(ls "$libraries"/*.jar | tr '\n' ':')" \
    io.sesamehead.platform.ArchiveTraining "$training" \
    "$image/bin/java" $java_options -XX:ArchiveClassesAtExit="$archive" -jar "$program" > "$training/output" 2>&1 ||
    echo "no class-data archive: the training run failed, see $training/output" >&2
}

build_jars
build_program
build_runtime
build_archive
