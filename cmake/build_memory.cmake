# Lets one source compile at a time where memory is short, whatever the number of
# jobs: the larger sources take up to 800 MB each.
set(PISTACHIOFLOW_PARALLEL_BUILD_MB 6000)

cmake_host_system_information(RESULT pf_memory_mb QUERY TOTAL_PHYSICAL_MEMORY)
if(EXISTS /sys/fs/cgroup/memory.max)
  file(READ /sys/fs/cgroup/memory.max pf_memory_limit)
  string(STRIP "${pf_memory_limit}" pf_memory_limit)
  if(pf_memory_limit MATCHES "^[0-9]+$")
    math(EXPR pf_memory_limit_mb "${pf_memory_limit} / 1048576")
    if(pf_memory_limit_mb LESS pf_memory_mb)
      set(pf_memory_mb ${pf_memory_limit_mb})
    endif()
  endif()
endif()

find_program(FLOCK_PROGRAM flock)
if(FLOCK_PROGRAM AND pf_memory_mb LESS PISTACHIOFLOW_PARALLEL_BUILD_MB)
  message(STATUS "Compiling one source at a time: ${pf_memory_mb} MB of memory")
  set_property(GLOBAL PROPERTY RULE_LAUNCH_COMPILE
    "${FLOCK_PROGRAM} ${CMAKE_BINARY_DIR}/compile.lock")
endif()
