# The settings that every target of the project shares.
add_library(AnvilOptions INTERFACE)
target_compile_features(AnvilOptions INTERFACE cxx_std_20)
target_compile_options(AnvilOptions INTERFACE -Wall -Wextra -Wpedantic -Werror)
# Asio 1.74 recycles coroutine frames in a way that g++ 12 takes for a mismatch.
target_compile_options(AnvilOptions INTERFACE -Wno-mismatched-new-delete)
# Asio 1.74 uses std::exchange without including its header.
target_compile_options(AnvilOptions INTERFACE -include utility)
target_include_directories(AnvilOptions INTERFACE "${CMAKE_SOURCE_DIR}"
                                                  "${CMAKE_SOURCE_DIR}/Source"
                                                  "${CMAKE_SOURCE_DIR}/Tests")

# Adds the static library NAME made of SOURCES and linked with LINKS.
function(anvil_add_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(${NAME} PUBLIC AnvilOptions ${ARG_LINKS})
endfunction()

# Adds the program NAME made of SOURCES and linked with LINKS.
function(anvil_add_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE AnvilOptions ${ARG_LINKS})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                           "${CMAKE_BINARY_DIR}/bin")
endfunction()
