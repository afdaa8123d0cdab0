set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

# Line tables are enough for a stack trace; full debug information of the
# templates in use costs a third of the build time.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")

set(PISTACHIOFLOW_SANITIZER "" CACHE STRING
    "Sanitizers to build with: empty, address,undefined or thread")
if(PISTACHIOFLOW_SANITIZER)
  add_compile_options(-fsanitize=${PISTACHIOFLOW_SANITIZER} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${PISTACHIOFLOW_SANITIZER})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Without a folder that it can write, ccache fails each compilation.
  execute_process(
    COMMAND ${CCACHE_PROGRAM} ${CMAKE_CXX_COMPILER} -x c++ -c /dev/null
            -o ${CMAKE_BINARY_DIR}/ccache_check.o
    RESULT_VARIABLE CCACHE_STATUS OUTPUT_QUIET ERROR_QUIET)
  if(CCACHE_STATUS EQUAL 0)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
  endif()
endif()

option(PISTACHIOFLOW_DAEMON_ONLY "Build only what runs on the users' platform" OFF)
