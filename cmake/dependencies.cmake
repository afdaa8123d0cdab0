include(build_memory)

# Each library becomes one interface target whose headers count as system ones.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log log_setup)
find_package(absl REQUIRED)
find_package(msgpackc-cxx REQUIRED CONFIG NAMES msgpack)
find_package(nlohmann_json REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_path(HTTP_PARSER_INCLUDE http_parser.h REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)

add_library(pf_libs INTERFACE)
target_compile_definitions(pf_libs INTERFACE ASIO_STANDALONE BOOST_LOG_DYN_LINK)
target_link_libraries(pf_libs INTERFACE
  Threads::Threads Boost::log Boost::log_setup msgpackc-cxx
  nlohmann_json::nlohmann_json PkgConfig::XXHASH
  absl::flags absl::flags_parse absl::flags_usage)

add_library(pf_http_parser INTERFACE)
target_include_directories(pf_http_parser SYSTEM INTERFACE ${HTTP_PARSER_INCLUDE})
target_link_libraries(pf_http_parser INTERFACE ${HTTP_PARSER_LIBRARY})

if(PISTACHIOFLOW_DAEMON_ONLY)
  return()
endif()

find_package(nng REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(benchmark REQUIRED)
find_package(Catch2 2 REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)

add_library(pf_http INTERFACE)
target_link_libraries(pf_http INTERFACE PkgConfig::HTTPLIB OpenSSL::SSL OpenSSL::Crypto)

add_library(pf_nng INTERFACE)
target_link_libraries(pf_nng INTERFACE nng::nng)

add_library(pf_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cpp)
target_link_libraries(pf_catch_main PUBLIC Catch2::Catch2)
target_compile_features(pf_catch_main PUBLIC cxx_std_20)
