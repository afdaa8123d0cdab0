#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review-3,
# after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review-3
mkdir -p "$folder"
compiler=${CXX:-g++}
flags=(-std=c++20 -O1 -Iinclude -Isrc -DASIO_STANDALONE -DBOOST_LOG_DYN_LINK)
libraries=(target/libpf_entry.a target/libpf_platform.a target/libpf_sched.a
  target/libpf_net.a target/libpf_codec.a target/libpf_model.a target/libpf_base.a
  -lhttp_parser -lboost_log_setup -lboost_log -lboost_thread -lboost_filesystem
  -lxxhash -lpthread)
sources=(src/pistachioflow/platform_standin/{log_store,platform_server,platform_server_workers,task_simulator,task_simulator_workers}.cpp
  review/stand-ins-3/*.cpp)
pids=()
for source in "${sources[@]}"; do
  object=$folder/$(basename "$source" .cpp).o
  "$compiler" "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
  if [ "${#pids[@]}" -ge 4 ]; then
    wait "${pids[0]}"
    pids=("${pids[@]:1}")
  fi
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
shared=("$folder"/{log_store,platform_server,platform_server_workers,task_simulator,task_simulator_workers,scene}.o)
"$compiler" "$folder/runner.o" "${shared[@]}" "${libraries[@]}" -o "$folder/runner"
for program in review/stand-ins-3/*.cpp; do
  name=$(basename "$program" .cpp)
  case $name in scene | runner) continue ;; esac
  "$compiler" "$folder/$name.o" "${shared[@]}" "${libraries[@]}" -o "$folder/$name"
done
