# Installs the decision library as a CMake package: find_package(arbutusworks) gives arbutusworks::core.
include(CMakePackageConfigHelpers)
install(TARGETS arbutusworks_core EXPORT arbutusworks_targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
foreach(folder base request version process)
  install(DIRECTORY src/${folder} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/arbutusworks FILES_MATCHING PATTERN "*.h")
endforeach()
install(EXPORT arbutusworks_targets NAMESPACE arbutusworks:: FILE arbutusworks-targets.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/arbutusworks)
configure_package_config_file(cmake/arbutusworks-config.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/arbutusworks)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config-version.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/arbutusworks-config-version.cmake DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/arbutusworks)
