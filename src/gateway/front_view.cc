#include "gateway/front_view.h"

#include "observe/log.h"

namespace sequoialb {

void FrontShared::RecordServerState(const std::string& backend,
                                    const BackendAnswer& answer) {
  // The answer of another server at the same address says nothing about this
  // one.
  if (answer.other_server) {
    return;
  }
  const TimePoint now = loop.now();
  crashes.RecordAlive(backend, now);
  if (answer.load) {
    pool.RecordServerLoad(backend, *answer.load, now);
  }
  if (answer.leaving && pool.RecordLeaving(backend)) {
    LogInfo("backend_leaving", {{"backend", backend}});
  }
}

}  // namespace sequoialb
