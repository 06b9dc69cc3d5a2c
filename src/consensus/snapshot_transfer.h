// Transfers a snapshot in chunks to a replica that has fallen behind the start
// of the leader's log.
//
// One chunk is in flight at a time. The receiver replies with the offset that
// it needs next and the sender continues from there, so lost and repeated
// messages do no harm.
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

// The leader's side of the transfers to all receivers.
class SnapshotSender {
 public:
  // Starts sending a snapshot to a node. Replaces a transfer to the same node
  // that is in progress.
  void Start(const std::string& node, uint64_t index,
             std::shared_ptr<const std::string> data, TimePoint now);

  // Handles a reply. Returns the index of the snapshot when the node has
  // received all of it.
  std::optional<uint64_t> OnReply(const std::string& node,
                                  const proto::SnapshotReply& reply,
                                  TimePoint now);

  // Returns the chunks that are due. The caller sets the term of the messages.
  std::vector<OutgoingRaftMessage> TakeChunks(TimePoint now);

  // Cancels all transfers. Called when the node loses leadership.
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

// The receiving replica's side of a transfer.
class SnapshotReceiver {
 public:
  // Handles a chunk. Returns the complete snapshot after the last chunk.
  std::optional<std::string> OnChunk(const proto::SnapshotChunk& chunk);

  // Number of bytes received of the current snapshot.
  uint64_t received_bytes() const { return data_.size(); }

 private:
  uint64_t index_ = 0;
  std::string data_;
};

}  // namespace sequoialb
