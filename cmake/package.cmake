# Installs the decision library as a CMake package: find_package(arbutusworks) gives arbutusworks::core.
# `cmake --install BUILD --component library` installs it alone, without the daemon.
include(CMakePackageConfigHelpers)
set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/arbutusworks)
install(TARGETS arbutusworks_core EXPORT arbutusworks_targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT library)
foreach(folder base request version process admission capacity)
  install(DIRECTORY src/${folder} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/arbutusworks COMPONENT library
    FILES_MATCHING PATTERN "*.h")
endforeach()
install(EXPORT arbutusworks_targets NAMESPACE arbutusworks:: FILE arbutusworks-targets.cmake
  DESTINATION ${package_dir} COMPONENT library)
configure_package_config_file(cmake/arbutusworks-config.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config.cmake
  INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config-version.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config-version.cmake DESTINATION ${package_dir} COMPONENT library)
