// Sending a snapshot to a replica that lags too far, chunk by chunk.
//
// One chunk is under way at a time. The receiver answers how much it has, and
// the sender goes on from there, so lost and repeated messages do no harm.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "consensus/raft_types.h"

namespace sequoialb {

// The sending side, for all receivers.
class SnapshotSender {
 public:
  // Begins to send a snapshot to a node; one under way is replaced.
  void Start(const std::string& node, uint64_t index,
             std::shared_ptr<const std::string> data, TimePoint now);

  // Takes an answer. Returns the index of the snapshot when the node has it
  // whole.
  std::optional<uint64_t> OnReply(const std::string& node,
                                  const proto::SnapshotReply& reply,
                                  TimePoint now);

  // Returns the chunks that are due, as messages without their term.
  std::vector<OutgoingRaftMessage> TakeChunks(TimePoint now);

  // Forgets all transfers, when the leadership ends.
  void Clear() { transfers_.clear(); }

 private:
  struct Transfer {
    uint64_t index = 0;
    uint64_t offset = 0;
    std::shared_ptr<const std::string> data;
    TimePoint send_at;
  };

  std::map<std::string, Transfer> transfers_;
};

// The receiving side.
class SnapshotReceiver {
 public:
  // Takes a chunk. Returns the whole snapshot with the last one.
  std::optional<std::string> OnChunk(const proto::SnapshotChunk& chunk);

  // How many bytes have arrived.
  uint64_t received_bytes() const { return data_.size(); }

 private:
  uint64_t index_ = 0;
  std::string data_;
};

}  // namespace sequoialb
