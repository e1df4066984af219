# Functions that give every target of the project the same flags.

# Applies the project's warnings and sanitizers to a target.
function(cuminfold_target_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra)
  if(CUMINFOLD_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(CUMINFOLD_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${CUMINFOLD_SANITIZE}
      -fno-omit-frame-pointer -fno-sanitize-recover=all)
    target_link_options(${target} PUBLIC -fsanitize=${CUMINFOLD_SANITIZE})
    if(CUMINFOLD_SANITIZE STREQUAL "thread")
      # ThreadSanitizer does not know Asio's stand-alone fences.
      target_compile_options(${target} PRIVATE -Wno-tsan)
      target_compile_definitions(${target} PRIVATE
        BOOST_ASIO_DISABLE_FENCED_BLOCK)
    endif()
  endif()
  target_include_directories(${target} PUBLIC "${PROJECT_SOURCE_DIR}/source")
endfunction()

# Adds a static library of the project; sources may be added later by
# target_sources() from the sub-folders.
function(cuminfold_add_library name)
  add_library(${name} STATIC ${ARGN})
  cuminfold_target_options(${name})
endfunction()

# Adds an OBJECT library of plug-ins. An archive would drop the objects that
# only register themselves.
function(cuminfold_add_plugins name)
  add_library(${name} OBJECT ${ARGN})
  cuminfold_target_options(${name})
endfunction()

# Adds one doctest program and its ctest entry.
#   cuminfold_add_test(NAME SOURCES... LIBRARIES...)
function(cuminfold_add_test name)
  cuminfold_add_executable_test(${name} ${ARGN})
  cuminfold_add_test_run(${name} ${name})
endfunction()

# Adds a test's program without running it.
function(cuminfold_add_executable_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  cuminfold_target_options(${name})
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/tests")
  target_link_libraries(${name} PRIVATE cuminfold_test_main ${arg_LIBRARIES})
endfunction()

# Adds a run of a test's program, with the arguments that follow.
function(cuminfold_add_test_run name program)
  add_test(NAME ${name} COMMAND ${program} ${ARGN})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=100" TIMEOUT 300)
endfunction()
