#include "group/snapshot_writer.h"

#include "consensus/snapshot_file.h"

namespace sequoialb {
namespace {

Result<WrittenSnapshot> WriteParts(FileSystem& files, const std::string& folder,
                                   const SnapshotMark& mark,
                                   const StateParts& parts) {
  WrittenSnapshot written{mark, 0};
  const auto name =
      WriteSnapshot(files, folder, mark, [&](proto::SnapshotPart& part) {
        std::optional<std::string> next = parts();
        if (!next) {
          return false;
        }
        written.bytes += next->size();
        part.set_group_state(std::move(*next));
        return true;
      });
  if (!name) {
    return tl::unexpected<Error>(name.error());
  }
  return written;
}

}  // namespace

void SnapshotWriter::Start(SnapshotMark mark, StateParts parts) {
  writing_ =
      std::async(in_background_ ? std::launch::async : std::launch::deferred,
                 [this, mark = std::move(mark), parts = std::move(parts)] {
                   return WriteParts(files_, folder_, mark, parts);
                 });
  if (!in_background_) {
    writing_.wait();
  }
}

std::optional<Result<WrittenSnapshot>> SnapshotWriter::TakeFinished() {
  if (!busy() ||
      writing_.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
    return std::nullopt;
  }
  return writing_.get();
}

}  // namespace sequoialb
