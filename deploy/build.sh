#!/bin/sh
# Builds the image of an entry VM under target/: a small runtime, the program's libraries, and a class-data archive.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk.sh

mvn -B -ntp -q -pl platform -am package -DskipTests

image=target/image
rm -rf "$image" target/libraries target/entry.jsa
mkdir -p target/libraries
cp platform/target/libraries/*.jar target/libraries/
cp platform/target/platform-*.jar target/libraries/
"$JAVA_HOME/bin/jlink" \
  --add-modules java.base,java.logging,java.management,jdk.unsupported \
  --strip-debug --no-header-files --no-man-pages \
  --output "$image"
