#include "consensus/snapshot_file.h"

#include "journal/frame.h"
#include "proto/storage.pb.h"

namespace sequoialb {
namespace {

constexpr size_t kWriteBufferBytes = 1U << 20U;
constexpr std::string_view kPrefix = "snapshot-";

enum SnapshotFrame : uint32_t {
  kHeaderFrame = 10,
  kPartFrame = 11,
  kEndFrame = 12
};

tl::unexpected<Error> DamagedFrame(const std::string& origin, size_t offset) {
  return Fail(ErrorCode::kCorrupt,
              origin + ": damaged frame at offset " + std::to_string(offset) +
                  "; restore the data folder or replace this host");
}

std::string EncodeHeader(const SnapshotMark& mark) {
  proto::SnapshotMarkRecord record;
  record.set_index(mark.index);
  record.set_term(mark.term);
  *record.mutable_membership() = mark.membership;
  return record.SerializeAsString();
}

}  // namespace

std::string SnapshotFileName(uint64_t index) {
  return std::string(kPrefix) + std::to_string(index) + ".snap";
}

Result<std::string> WriteSnapshot(FileSystem& files, const std::string& folder,
                                  const SnapshotMark& mark,
                                  const SnapshotSource& next_part) {
  const std::string name = SnapshotFileName(mark.index);
  auto file = OpenTemporary(files, folder, name);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  std::string buffer;
  AppendFrame(buffer, kHeaderFrame, EncodeHeader(mark));
  proto::SnapshotPart part;
  proto::SnapshotEnd end;
  while (next_part(part)) {
    AppendFrame(buffer, kPartFrame, part.SerializeAsString());
    end.set_parts(end.parts() + 1);
    if (buffer.size() >= kWriteBufferBytes) {
      const Status written = (*file)->Append(buffer);
      if (!written) {
        return tl::unexpected<Error>(written.error());
      }
      buffer.clear();
    }
  }
  AppendFrame(buffer, kEndFrame, end.SerializeAsString());
  const Status finished = (*file)->Append(buffer).and_then(
      [&] { return Publish(files, **file, folder, name); });
  if (!finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return name;
}

Result<SnapshotMark> DecodeSnapshot(std::string_view data,
                                    const std::string& origin,
                                    const SnapshotSink& sink) {
  size_t offset = 0;
  Frame frame;
  proto::SnapshotMarkRecord header;
  if (ReadFrame(data, offset, frame) != FrameStatus::kValid ||
      frame.kind != kHeaderFrame ||
      !header.ParseFromArray(frame.payload.data(),
                             static_cast<int>(frame.payload.size()))) {
    return DamagedFrame(origin, offset);
  }
  uint64_t parts = 0;
  while (true) {
    offset += frame.size;
    if (ReadFrame(data, offset, frame) != FrameStatus::kValid) {
      return DamagedFrame(origin, offset);
    }
    if (frame.kind == kEndFrame) {
      break;
    }
    proto::SnapshotPart part;
    if (!part.ParseFromArray(frame.payload.data(),
                             static_cast<int>(frame.payload.size()))) {
      return DamagedFrame(origin, offset);
    }
    sink(part);
    ++parts;
  }
  proto::SnapshotEnd end;
  if (!end.ParseFromArray(frame.payload.data(),
                          static_cast<int>(frame.payload.size())) ||
      end.parts() != parts) {
    return DamagedFrame(origin, offset);
  }
  return SnapshotMark{header.index(), header.term(), header.membership()};
}

Result<SnapshotMark> LoadSnapshot(FileSystem& files, const std::string& folder,
                                  uint64_t index, const SnapshotSink& sink) {
  const std::string path = folder + "/" + SnapshotFileName(index);
  const Result<std::string> data = files.Read(path);
  if (!data) {
    return tl::unexpected<Error>(data.error());
  }
  return DecodeSnapshot(*data, path, sink);
}

Status RemoveOtherSnapshots(FileSystem& files, const std::string& folder,
                            uint64_t index) {
  const auto names = files.List(folder);
  if (!names) {
    return tl::unexpected<Error>(names.error());
  }
  for (const std::string& name : *names) {
    const bool is_snapshot = name.compare(0, kPrefix.size(), kPrefix) == 0;
    if (!is_snapshot || name == SnapshotFileName(index)) {
      continue;
    }
    std::string path = folder;
    path.append("/").append(name);
    Status removed = files.Remove(path);
    if (!removed) {
      return removed;
    }
  }
  return files.SyncFolder(folder);
}

}  // namespace sequoialb
