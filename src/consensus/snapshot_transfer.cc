#include "consensus/snapshot_transfer.h"

namespace sequoialb {
namespace {

constexpr milliseconds kResendInterval{500};
constexpr size_t kChunkBytes = 512U << 10U;

}  // namespace

void SnapshotSender::Start(const std::string& node, uint64_t index,
                           std::shared_ptr<const std::string> data,
                           TimePoint now) {
  transfers_[node] = Transfer{index, 0, std::move(data), now};
}

std::optional<uint64_t> SnapshotSender::OnReply(
    const std::string& node, const proto::SnapshotReply& reply, TimePoint now) {
  const auto found = transfers_.find(node);
  if (found == transfers_.end() || reply.last_index() != found->second.index) {
    return std::nullopt;
  }
  Transfer& transfer = found->second;
  if (reply.next_offset() >= transfer.data->size()) {
    const uint64_t index = transfer.index;
    transfers_.erase(found);
    return index;
  }
  // A receiver that has restarted requests offset 0 again.
  if (reply.next_offset() > transfer.offset || reply.next_offset() == 0) {
    transfer.offset = reply.next_offset();
    transfer.send_at = now;
  }
  return std::nullopt;
}

std::vector<OutgoingRaftMessage> SnapshotSender::TakeChunks(TimePoint now) {
  std::vector<OutgoingRaftMessage> out;
  for (auto& [node, transfer] : transfers_) {
    if (now < transfer.send_at) {
      continue;
    }
    transfer.send_at = now + kResendInterval;
    OutgoingRaftMessage& outgoing = out.emplace_back();
    outgoing.to = node;
    proto::SnapshotChunk& chunk = *outgoing.message.mutable_snapshot_chunk();
    chunk.set_last_index(transfer.index);
    chunk.set_offset(transfer.offset);
    chunk.set_data(transfer.data->substr(transfer.offset, kChunkBytes));
    chunk.set_last(transfer.offset + kChunkBytes >= transfer.data->size());
  }
  return out;
}

std::optional<std::string> SnapshotReceiver::OnChunk(
    const proto::SnapshotChunk& chunk) {
  if (chunk.offset() == 0 || chunk.last_index() != index_) {
    index_ = chunk.last_index();
    data_.clear();
  }
  if (chunk.offset() != data_.size()) {
    return std::nullopt;
  }
  data_ += chunk.data();
  if (!chunk.last()) {
    return std::nullopt;
  }
  std::string snapshot = std::move(data_);
  data_.clear();
  return snapshot;
}

}  // namespace sequoialb
