sequoialb_program(sequoialbd programs/sequoialbd.cc)
sequoialb_program(sequoialb-emulator programs/sequoialb-emulator.cc)
sequoialb_program(sequoialb-load programs/sequoialb-load.cc)
sequoialb_program(sequoialb programs/sequoialb.cc)

add_executable(scenario_runner test/scenarios/runner.cc test/scenarios/fleet.cc)
target_compile_options(scenario_runner PRIVATE -Wall -Wextra -Werror)
target_link_libraries(scenario_runner PRIVATE libsequoialb)

sequoialb_program(embed_scheduler examples/embed_scheduler.cc)
sequoialb_program(records_bench bench/records_bench.cc)
