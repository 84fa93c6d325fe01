# Helper functions for libraries, programs and tests, so that the CMakeLists.txt
# of a folder only lists sources and dependencies.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

find_program(LACEWING_CCACHE ccache)
if(LACEWING_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${LACEWING_CCACHE})
endif()

function(lacewing_warnings name)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Wshadow)
endfunction()

# lacewing_library(NAME SOURCES a.cpp DEPENDS lib)
function(lacewing_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs
                             ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  lacewing_warnings(${name})
endfunction()

# lacewing_program(NAME SOURCES a.cpp DEPENDS lib)
function(lacewing_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE
                             LACEWING_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        ${PROJECT_BINARY_DIR}/bin)
  lacewing_warnings(${name})
endfunction()

# lacewing_test(NAME SOURCES tst_a.cpp DEPENDS lib)
function(lacewing_test name)
  lacewing_program(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE Lacewing::Doctest)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
