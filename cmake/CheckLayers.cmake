# Checks that no folder of src/ includes one above it. Run with
#   cmake -DSOURCE_DIR=src -P cmake/CheckLayers.cmake
# The layers, lowest first. A file may include its own folder and those before
# it. Folders of adapters do not know each other: see ADAPTERS.
cmake_policy(VERSION 3.22)

set(LAYERS
  base/constants
  base
  core/model
  core/engine
  protocol
  core/jobs
  core/machines
  core/coordination
  core/scheduling
  core/autoscaling
  core/balance
  core/workers
  core/api
  core/controller
  concurrency
  http
  state
  cloud
  peer
  config
  server)
# Each of these knows the core's inputs and effects, not its other parts.
set(ADAPTERS http state cloud peer config)
set(CORE_FOR_ADAPTERS base/constants base core/model core/engine protocol
  concurrency http)

set(violations 0)
foreach(folder IN LISTS LAYERS)
  list(FIND LAYERS ${folder} level)
  file(GLOB files "${SOURCE_DIR}/${folder}/*.h" "${SOURCE_DIR}/${folder}/*.cc")
  foreach(file IN LISTS files)
    file(STRINGS "${file}" includes REGEX "^#include \"[a-z_/]+/[a-z_]+\\.h\"")
    foreach(line IN LISTS includes)
      string(REGEX REPLACE "^#include \"(.*)/[^/]*\"" "\\1" included "${line}")
      if(included STREQUAL folder)
        continue()
      endif()
      list(FIND LAYERS ${included} included_level)
      set(allowed TRUE)
      if(included_level EQUAL -1 OR included_level GREATER level)
        set(allowed FALSE)
      elseif(folder IN_LIST ADAPTERS AND NOT included IN_LIST CORE_FOR_ADAPTERS)
        set(allowed FALSE)
      endif()
      if(NOT allowed)
        file(RELATIVE_PATH name "${SOURCE_DIR}" "${file}")
        message(NOTICE "${name}: ${folder} must not include ${included}")
        math(EXPR violations "${violations} + 1")
      endif()
    endforeach()
  endforeach()
endforeach()
if(violations)
  message(FATAL_ERROR "${violations} includes run against the layers")
endif()
