sequoialb_program(sequoialbd programs/sequoialbd.cc)
sequoialb_program(sequoialb-emulator programs/sequoialb-emulator.cc)
sequoialb_program(sequoialb-load programs/sequoialb-load.cc)
sequoialb_program(sequoialb programs/sequoialb.cc)

add_executable(scenario_runner test/scenarios/runner.cc test/scenarios/fleet.cc)
target_compile_options(scenario_runner PRIVATE ${SEQUOIALB_WARNINGS})
target_link_libraries(scenario_runner PRIVATE libsequoialb)

sequoialb_program(embed_scheduler examples/embed_scheduler.cc)
sequoialb_program(records_bench bench/records_bench.cc)

file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS platform/*_*.cc)
add_library(sequoialb_platform STATIC ${PLATFORM_SOURCES})
target_include_directories(sequoialb_platform PUBLIC ${CMAKE_SOURCE_DIR})
target_compile_options(sequoialb_platform PRIVATE ${SEQUOIALB_WARNINGS})
target_link_libraries(sequoialb_platform PUBLIC libsequoialb)
sequoialb_program(sequoialb-platform platform/main.cc)
target_link_libraries(sequoialb-platform PRIVATE sequoialb_platform)

add_executable(fleet_soak test/soak/fleet_soak.cc test/soak/traffic.cc
  test/soak/deployment.cc test/soak/guarantee_checker.cc test/soak/fault_proxy.cc
  test/scenarios/fleet.cc)
target_compile_options(fleet_soak PRIVATE ${SEQUOIALB_WARNINGS})
target_link_libraries(fleet_soak PRIVATE sequoialb_platform)
