#include "http/connect_probes.h"

#include <utility>

namespace sequoialb {

ConnectProbes::~ConnectProbes() {
  for (const auto& [number, probe] : probes_) {
    loop_.Cancel(probe->timer);
  }
}

void ConnectProbes::Start(const Address& address, TimePoint deadline,
                          std::function<void(ProbeResult)> done) {
  const uint64_t number = next_number_++;
  auto probe = std::make_shared<Probe>();
  probe->done = std::move(done);
  probe->timer = loop_.RunAt(
      deadline, [this, number] { End(number, ProbeResult::kUnknown); });
  probe->stream = std::make_unique<TcpStream>(
      loop_, address,
      TcpStream::Callbacks{
          .on_input = [] {},
          .on_end =
              [this, number](StreamEnd end) {
                End(number, end == StreamEnd::kRefused ? ProbeResult::kRefused
                                                       : ProbeResult::kUnknown);
              },
          .on_connected = [this,
                           number] { End(number, ProbeResult::kAccepted); }});
  probes_[number] = std::move(probe);
}

void ConnectProbes::End(uint64_t number, ProbeResult result) {
  const auto found = probes_.find(number);
  if (found == probes_.end()) {
    return;
  }
  const std::shared_ptr<Probe> probe = std::move(found->second);
  probes_.erase(found);
  loop_.Cancel(probe->timer);
  probe->stream->Close();
  // A callback of the stream may still be running.
  loop_.ReleaseAfterIteration(probe);
  probe->done(result);
}

}  // namespace sequoialb
