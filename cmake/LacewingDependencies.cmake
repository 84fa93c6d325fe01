# All external libraries. Other CMake files use the names defined here.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(absl REQUIRED)
find_package(spdlog REQUIRED)
find_package(cxxopts REQUIRED)
find_package(Boost REQUIRED)
pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(jsoncpp REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(tomlplusplus REQUIRED IMPORTED_TARGET tomlplusplus)

if(NOT LACEWING_PLATFORM_ONLY)
  find_package(Protobuf REQUIRED)
  find_package(doctest REQUIRED)
  pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
  pkg_check_modules(zmq REQUIRED IMPORTED_TARGET libzmq)
  pkg_check_modules(zstd REQUIRED IMPORTED_TARGET libzstd)

  add_library(LacewingDoctest INTERFACE)
  target_link_libraries(LacewingDoctest INTERFACE doctest::doctest)
  add_library(Lacewing::Doctest ALIAS LacewingDoctest)
endif()
