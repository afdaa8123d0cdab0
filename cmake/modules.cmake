# Ends a test program that hangs, far beyond what any of them takes.
set(PISTACHIOFLOW_TEST_TIMEOUT_S 300)

set(PISTACHIOFLOW_WARNINGS -Wall -Wextra -Wpedantic -Wno-missing-field-initializers
    -Werror)

function(pistachioflow_target_defaults target)
  target_compile_options(${target} PRIVATE ${PISTACHIOFLOW_WARNINGS})
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/src)
endfunction()

# Lists the sources of a folder, with or without its tests.
function(pistachioflow_sources folder sources_out tests_out)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  set(${sources_out} ${sources} PARENT_SCOPE)
  set(${tests_out} ${tests} PARENT_SCOPE)
endfunction()

# Adds pf_<name> from src/pistachioflow/<name> and <name>_tests from its *_test.cpp.
function(pistachioflow_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  pistachioflow_sources(src/pistachioflow/${name} sources tests)
  if(sources)
    add_library(pf_${name} STATIC ${sources})
    pistachioflow_target_defaults(pf_${name})
    target_link_libraries(pf_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(pf_${name} INTERFACE)
    target_include_directories(pf_${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(pf_${name} INTERFACE ${ARG_DEPENDS})
  endif()
  if(tests AND NOT PISTACHIOFLOW_DAEMON_ONLY)
    add_executable(${name}_tests ${tests})
    pistachioflow_target_defaults(${name}_tests)
    target_link_libraries(${name}_tests PRIVATE pf_${name} pf_catch_main)
    target_compile_definitions(${name}_tests PRIVATE
      PISTACHIOFLOW_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_precompile_headers(${name}_tests PRIVATE <catch2/catch.hpp>)
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
  endif()
endfunction()

# Adds a program from a folder of the project.
function(pistachioflow_program_in program folder)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  pistachioflow_sources(${folder} sources tests)
  if(sources)
    add_executable(${program} ${sources})
    pistachioflow_target_defaults(${program})
    target_link_libraries(${program} PRIVATE ${ARG_DEPENDS})
  endif()
endfunction()

# Adds a program from src/pistachioflow/<folder>.
function(pistachioflow_program program folder)
  pistachioflow_program_in(${program} src/pistachioflow/${folder} ${ARGN})
endfunction()

# Adds <folder>_tests from a program's folder: its *_test.cpp with its sources except main.cpp.
function(pistachioflow_program_tests folder)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  pistachioflow_sources(src/pistachioflow/${folder} sources tests)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_executable(${folder}_tests ${sources} ${tests})
  pistachioflow_target_defaults(${folder}_tests)
  target_link_libraries(${folder}_tests PRIVATE ${ARG_DEPENDS} pf_catch_main)
  target_compile_definitions(${folder}_tests PRIVATE
    PISTACHIOFLOW_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${folder} COMMAND ${folder}_tests)
  set_tests_properties(${folder} PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
endfunction()

# Adds one program for each file of the folder.
function(pistachioflow_benchmarks folder)
  pistachioflow_sources(${folder} sources tests)
  foreach(source ${sources})
    cmake_path(GET source STEM name)
    add_executable(${name} ${source})
    pistachioflow_target_defaults(${name})
    target_link_libraries(${name} PRIVATE pf_api pf_peer pf_clients pf_standin benchmark::benchmark)
  endforeach()
endfunction()

# Adds the tests that start the real programs on loopback.
function(pistachioflow_process_tests folder)
  pistachioflow_sources(${folder} sources tests)
  if(tests)
    add_executable(process_tests ${sources} ${tests})
    pistachioflow_target_defaults(process_tests)
    target_link_libraries(process_tests PRIVATE pf_api pf_peer pf_clients pf_standin pf_catch_main)
    target_compile_definitions(process_tests PRIVATE
      PISTACHIOFLOW_BIN_DIR="${CMAKE_BINARY_DIR}")
    target_precompile_headers(process_tests PRIVATE <catch2/catch.hpp>)
    add_dependencies(process_tests pistachiod pistachioctl pistachio-standin)
    add_test(NAME processes COMMAND process_tests)
    set_tests_properties(processes PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
  endif()
endfunction()

function(pistachioflow_examples folder)
  pistachioflow_sources(${folder} sources tests)
  foreach(source ${sources})
    cmake_path(GET source STEM name)
    add_executable(example_${name} ${source})
    pistachioflow_target_defaults(example_${name})
    target_link_libraries(example_${name} PRIVATE pf_api pf_peer pf_clients pf_standin)
  endforeach()
endfunction()

# Adds the tests that start the daemon against the stand-in platform.
function(pistachioflow_platform_tests folder)
  pistachioflow_sources(${folder} sources tests)
  add_library(pf_fleet STATIC ${sources})
  pistachioflow_target_defaults(pf_fleet)
  target_link_libraries(pf_fleet PUBLIC pf_platform_standin)
  target_compile_definitions(pf_fleet PRIVATE
    PISTACHIOFLOW_BIN_DIR="${CMAKE_BINARY_DIR}")
  target_include_directories(pf_fleet PUBLIC ${CMAKE_SOURCE_DIR}/${folder})
  add_executable(platform_path_tests ${tests})
  pistachioflow_target_defaults(platform_path_tests)
  target_link_libraries(platform_path_tests PRIVATE pf_fleet pf_catch_main)
  target_precompile_headers(platform_path_tests PRIVATE <catch2/catch.hpp>)
  add_dependencies(platform_path_tests pistachio-entryd)
  # Three runs beside each other, each far from the time limit.
  add_test(NAME platform_path
    COMMAND platform_path_tests "~[slow]~[late]~[memory]")
  add_test(NAME platform_path_slow COMMAND platform_path_tests "[slow]")
  add_test(NAME platform_path_late COMMAND platform_path_tests "[late]")
  # Measures the memory of a daemon under load, so nothing runs beside it.
  add_test(NAME platform_path_memory COMMAND platform_path_tests "[memory]")
  set_tests_properties(platform_path_memory PROPERTIES RUN_SERIAL TRUE)
  set_tests_properties(platform_path platform_path_slow platform_path_late
    platform_path_memory PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
  add_executable(pistachio-soak ${CMAKE_SOURCE_DIR}/tests/soak/main.cpp)
  pistachioflow_target_defaults(pistachio-soak)
  target_link_libraries(pistachio-soak PRIVATE pf_fleet)
  add_dependencies(pistachio-soak pistachio-entryd)
  add_test(NAME soak COMMAND pistachio-soak 1 3 4)
  set_tests_properties(soak PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
endfunction()

# Adds each script of a folder as a test. It is given the project's folder.
function(pistachioflow_script_tests folder)
  file(GLOB scripts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.sh)
  foreach(script ${scripts})
    cmake_path(GET script STEM name)
    add_test(NAME ${name} COMMAND ${script} ${CMAKE_SOURCE_DIR})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${PISTACHIOFLOW_TEST_TIMEOUT_S})
  endforeach()
endfunction()
