# Fuzz entries of the readers and decoders, with clang++ only: tools/fuzz.sh builds and runs them.
option(ARBUTUS_FUZZ "Build the fuzz entries (clang++, with ARBUTUS_CORE_ONLY)" OFF)
if(ARBUTUS_FUZZ)
  if(NOT CMAKE_CXX_COMPILER_ID MATCHES "Clang")
    message(FATAL_ERROR "ARBUTUS_FUZZ needs clang++")
  endif()
  set(fuzz_sanitizers address,undefined)
  target_compile_options(arbutusworks_core PRIVATE
    -fsanitize=fuzzer-no-link,${fuzz_sanitizers} -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(arbutusworks_core INTERFACE -fsanitize=${fuzz_sanitizers})
  # The readers of the platform's documents need no sockets.
  add_library(fuzz_platform_readers STATIC platform/base64.cpp platform/documents.cpp platform/engine_status_json.cpp
    platform/http_fields.cpp
    platform/list_span.cpp
    platform/store_rows.cpp
    src/connection/http_message.cpp)
  target_include_directories(fuzz_platform_readers PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(fuzz_platform_readers PUBLIC arbutusworks_core nlohmann_json::nlohmann_json)
  target_compile_options(fuzz_platform_readers PRIVATE
    -fsanitize=fuzzer-no-link,${fuzz_sanitizers} -fno-sanitize-recover=all -fno-omit-frame-pointer)
  file(GLOB fuzz_entries CONFIGURE_DEPENDS fuzz/*.cpp)
  foreach(entry ${fuzz_entries})
    get_filename_component(name ${entry} NAME_WE)
    add_executable(fuzz_${name} ${entry})
    target_include_directories(fuzz_${name} PRIVATE fuzz)
    target_compile_options(fuzz_${name} PRIVATE -fsanitize=fuzzer,${fuzz_sanitizers} -fno-sanitize-recover=all)
    target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer,${fuzz_sanitizers})
    target_link_libraries(fuzz_${name} PRIVATE arbutusworks_core fuzz_platform_readers)
    list(APPEND fuzz_targets fuzz_${name})
  endforeach()
  add_custom_target(fuzz DEPENDS ${fuzz_targets})
endif()
