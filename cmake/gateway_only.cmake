# The binary with the commands that a VM of the users' platform runs. It leaves
# out the libraries that only the project's own interface needs, and all tests.
find_package(prometheus-cpp CONFIG REQUIRED)
file(GLOB GATEWAY_SOURCES CONFIGURE_DEPENDS src/base/*.cc src/log/*.cc src/net/*.cc src/quarantine/*.cc src/team/*.cc src/quota/*.cc
  src/departure/*.cc src/replication/*.cc src/intake/*.cc src/occupancy/*.cc src/stall/*.cc src/prefill/*.cc
  src/gateway/*.cc src/daemon/*.cc src/store/*.cc src/fleet/*.cc src/orders/*.cc platform/*.cc
  src/fleet/gen/*.cpp)
list(FILTER GATEWAY_SOURCES EXCLUDE REGEX "_unittest\\.cc$")
add_executable(coltsfootvane app/main.cc app/command_explain.cc app/command_gateway.cc
  app/command_version.cc app/output.cc src/http/message.cc
  src/entry/retry_budget.cc src/placement/lease.cc ${GATEWAY_SOURCES}
  /usr/include/easylogging++.cc)
set_source_files_properties(src/fleet/gen/fleet_types.cpp PROPERTIES COMPILE_OPTIONS -w)
set_source_files_properties(/usr/include/easylogging++.cc PROPERTIES COMPILE_OPTIONS -w)
# g++ 12 reports moved-from members of optimised code.
target_compile_options(coltsfootvane PRIVATE -Wno-error=maybe-uninitialized)
target_compile_definitions(coltsfootvane PRIVATE COLTSFOOTVANE_GATEWAY_ONLY
  COLTSFOOTVANE_VERSION="${PROJECT_VERSION}")
target_link_libraries(coltsfootvane PRIVATE project_options Threads::Threads
  prometheus-cpp::core xxhash ZLIB::ZLIB libthrift.a -static-libstdc++ -static-libgcc)
