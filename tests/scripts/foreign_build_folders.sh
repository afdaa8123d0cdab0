#!/usr/bin/env bash
# Guards against a build that ends before it begins, since its folder was copied from
# another place, machine or compiler. Usage: foreign_build_folders.sh SOURCE_FOLDER
set -euo pipefail
sources=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Makes a project with a build folder inside another one, as target/review is.
make_project() {
  mkdir -p "$work/$1/review"
  printf 'cmake_minimum_required(VERSION 3.18)\nproject(outer LANGUAGES CXX)\n' \
    >"$work/$1/CMakeLists.txt"
  cp "$work/$1/CMakeLists.txt" "$work/$1/review/"
  configure "$1" >/dev/null
}

configure() {
  cmake -S "$work/$1" -B "$work/$1/target" && cmake -S "$work/$1/review" -B "$work/$1/target/review"
}

drop() {
  "$sources/scripts/drop-foreign-build" "$work/$1/target" "$work/$1/target/review"
}

# Usage: expect NAME PROJECT dropped|kept
expect() {
  local found=kept
  drop "$2" >/dev/null
  [ -f "$work/$2/target/CMakeCache.txt" ] || found=dropped
  if [ "$found" != "$3" ]; then
    echo "$1: $found instead of $3"
    failed=1
  elif ! configure "$2" >"$work/log" 2>&1; then
    echo "$1: can't be configured"
    cat "$work/log"
    failed=1
  fi
}

# Replaces what CMake has found out about the machine or the compiler.
pretend() {
  sed -i "s|^set($3 .*|set($3 \"$4\")|" "$work/$1"/target/CMakeFiles/*/"$2"
}

make_project own
expect "a folder of this checkout" own kept

cp -r "$work/own" "$work/copied"
if configure copied >/dev/null 2>&1; then
  echo "CMake takes copied folders now: this test shows nothing"
  failed=1
fi
expect "a folder copied from another path" copied dropped

pretend own CMakeSystem.cmake CMAKE_HOST_SYSTEM_PROCESSOR other
expect "a folder of another kind of machine" own dropped

pretend own CMakeCXXCompiler.cmake CMAKE_CXX_COMPILER_VERSION 1.2.3
expect "a folder of another version of the compiler" own dropped

pretend own CMakeCXXCompiler.cmake CMAKE_CXX_COMPILER /nowhere/g++
expect "a folder of a compiler that is gone" own dropped

rm -rf "$work/own/target/CMakeFiles"
expect "a folder that was configured in part" own dropped

rm -rf "$work/own/target"
expect "no folder at all" own dropped

# What stands in a folder that fits is left alone, with one that does not around it.
touch "$work/own/target/review/program"
pretend own CMakeSystem.cmake CMAKE_HOST_SYSTEM_PROCESSOR other
drop own >/dev/null
if [ ! -f "$work/own/target/review/program" ]; then
  echo "a folder that fits was emptied with the one around it"
  failed=1
fi
exit "$failed"
