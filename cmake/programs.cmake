sequoialb_program(sequoialbd programs/sequoialbd.cc)
sequoialb_program(fake_engine test/fakes/fake_engine.cc)
