#!/usr/bin/env bash
# Runs clang-tidy on every source in parallel. @param $1 build directory with compile_commands.json
set -eu
cd "$(dirname "$0")/.."
build=$1
# clang-tidy cannot read a precompiled header of g++, so its options are taken out of a copy of the commands.
mkdir -p "$build/lint"
sed -E 's/ -Winvalid-pch//; s/ -include [^ ]*cmake_pch\.hxx//; s/ -Wno-mismatched-new-delete//; s/ -Wno-maybe-uninitialized//' \
    "$build/compile_commands.json" >"$build/lint/compile_commands.json"
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build/lint" 2>"$build/lint/errors" >"$build/lint/findings" || {
    grep -E 'warning:|error:' "$build/lint/findings" | sort -u
    grep -E 'error:' "$build/lint/errors" | sort -u
    echo "lint: clang-tidy has findings, see $build/lint/findings"
    exit 1
}
echo "lint: no findings"
