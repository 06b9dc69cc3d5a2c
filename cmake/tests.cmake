# Tests are many small programs, grouped by purpose. Property tests take their seed
# and number of cases from RC_PARAMS, which is fixed here so that runs are repeatable.
enable_testing()
find_package(GTest REQUIRED)
find_package(rapidcheck REQUIRED)

set(PROPERTY_PARAMS "seed=20261204 max_success=1000 max_discard_ratio=50")

file(GLOB CORRECTNESS_TESTS CONFIGURE_DEPENDS test/correctness/*_test.cc test/error/*_test.cc)
foreach(source ${CORRECTNESS_TESTS})
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_compile_options(${name} PRIVATE ${SEQUOIALB_WARNINGS})
  target_link_libraries(${name} PRIVATE sequoialb_platform libsequoialb
    GTest::gtest_main)
  target_compile_definitions(${name} PRIVATE SEQUOIALB_ROOT="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name})
endforeach()

file(GLOB PROPERTY_TESTS CONFIGURE_DEPENDS test/property/*_property.cc test/fuzz/*_fuzz.cc)
foreach(source ${PROPERTY_TESTS})
  get_filename_component(name ${source} NAME_WE)
  add_executable(${name} ${source})
  target_compile_options(${name} PRIVATE ${SEQUOIALB_WARNINGS})
  target_link_libraries(${name} PRIVATE libsequoialb rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=${PROPERTY_PARAMS}")
endforeach()

# Clients that exceed the limits. Each listener is a test of its own and runs
# alone, because the tests measure memory and descriptors of a process.
add_executable(hostile_clients test/hostile/hostile_clients.cc
  test/scenarios/fleet.cc)
target_compile_options(hostile_clients PRIVATE ${SEQUOIALB_WARNINGS})
target_compile_definitions(hostile_clients PRIVATE
  SEQUOIALB_PROGRAMS="${CMAKE_BINARY_DIR}")
target_link_libraries(hostile_clients PRIVATE sequoialb_platform libsequoialb
  GTest::gtest_main)
add_dependencies(hostile_clients sequoialb-platform sequoialbd)
foreach(case Bodies_Front Bodies_Ready Bodies_Control Bodies_Metrics
    Heads_Front Readers_Control Readers_Metrics
    Descriptors_Front Descriptors_Ready Descriptors_Control Descriptors_Metrics)
  string(TOLOWER "hostile_${case}" name)
  string(REPLACE "_" "" test ${case})
  add_test(NAME ${name} COMMAND hostile_clients
    --gtest_filter=HostileClients.${test})
  set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)
endforeach()
add_test(NAME hostile_daemon_heads COMMAND hostile_clients
  --gtest_filter=HostileClientsOfDaemon.TricklesHeads)
set_tests_properties(hostile_daemon_heads PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)

# The real programs against servers whose answers are broken.
add_executable(program_answers test/broken/program_answers.cc
  test/scenarios/fleet.cc)
target_compile_options(program_answers PRIVATE ${SEQUOIALB_WARNINGS})
target_compile_definitions(program_answers PRIVATE
  SEQUOIALB_PROGRAMS="${CMAKE_BINARY_DIR}" SEQUOIALB_ROOT="${CMAKE_SOURCE_DIR}")
target_link_libraries(program_answers PRIVATE libsequoialb GTest::gtest_main)
add_dependencies(program_answers sequoialbd sequoialb)
add_test(NAME program_answers COMMAND program_answers)
