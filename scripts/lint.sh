#!/usr/bin/env bash
# Runs clang-tidy on all source files in parallel. @param $1 build directory that contains compile_commands.json
set -eu
cd "$(dirname "$0")/.."
build=$1
# clang-tidy cannot read precompiled headers of g++. The options for them, and two options for false positives of
# g++, are removed from a copy of the compile commands.
mkdir -p "$build/lint"
sed -E 's/ -Winvalid-pch//; s/ -include [^ ]*cmake_pch\.hxx//; s/ -Wno-mismatched-new-delete//; s/ -Wno-maybe-uninitialized//' \
    "$build/compile_commands.json" >"$build/lint/compile_commands.json"
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'soak/*.cpp' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build/lint" 2>"$build/lint/errors" >"$build/lint/findings" || {
    grep -E 'warning:|error:' "$build/lint/findings" | sort -u
    grep -E 'error:' "$build/lint/errors" | sort -u
    echo "lint: clang-tidy reported findings, see $build/lint/findings"
    exit 1
}
echo "lint: no findings"
