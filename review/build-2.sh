#!/bin/sh
# Builds the programs of cases 4 to 8 into target/review-2, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Iinclude -Isrc -Itests"
libraries="target/libcoursehead_core.a $(pkg-config --libs spdlog libnghttp2 libcrypto) -lfmt -lpthread"
for it in tests/soak/child.cpp tests/support/object_store.cpp; do
    g++ $flags -c "$it" -o "$out/$(basename "$it" .cpp).o" &
done
wait
for n in 4 5 6 7 8; do
    [ -f "review/$n/case.cpp" ] || continue
    g++ $flags "review/$n/case.cpp" "$out/child.o" "$out/object_store.o" $libraries -o "$out/case-$n" &
done
wait
for n in 4 5 6 7 8; do
    [ ! -f "review/$n/case.cpp" ] || [ -x "$out/case-$n" ] || exit 1
done
