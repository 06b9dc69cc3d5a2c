// Tests of durable files: the Raft log across segments and snapshots, snapshot
// files, the blob store, and atomic file replacement.
#include <gtest/gtest.h>

#include "../fakes/memory_files.h"
#include "base/hash.h"
#include "batches/blob_store.h"
#include "consensus/raft_storage.h"
#include "consensus/snapshot_file.h"

namespace sequoialb {
namespace {

using fakes::MemoryFiles;

std::vector<proto::LogEntry> Entries(uint64_t first, uint64_t last,
                                     uint64_t term, size_t bytes = 10) {
  std::vector<proto::LogEntry> entries;
  for (uint64_t index = first; index <= last; ++index) {
    proto::LogEntry& entry = entries.emplace_back();
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command(std::string(bytes, 'x'));
  }
  return entries;
}

TEST(RaftStorageTest, RewrittenEntryReplacesAllLaterEntries) {
  MemoryFiles files;
  {
    RaftPersistentState found;
    auto storage = *RaftStorage::Open(files, "log", found);
    ASSERT_TRUE(
        storage->Persist(HardState{1, "a"}, Entries(1, 5, 1)).has_value());
    ASSERT_TRUE(
        storage->Persist(HardState{2, ""}, Entries(3, 4, 2)).has_value());
  }
  RaftPersistentState found;
  ASSERT_TRUE(RaftStorage::Open(files, "log", found).has_value());
  ASSERT_EQ(found.entries.size(), 4U);
  EXPECT_EQ(found.entries[1].term(), 1U);
  EXPECT_EQ(found.entries[2].term(), 2U);
  EXPECT_EQ(found.hard_state.term, 2U);
}

TEST(RaftStorageTest, RemovesOnlySegmentsCoveredBySnapshot) {
  MemoryFiles files;
  {
    RaftPersistentState found;
    auto storage = *RaftStorage::Open(files, "log", found);
    // Entries of one megabyte each fill several segments.
    for (uint64_t index = 1; index <= 60; ++index) {
      ASSERT_TRUE(
          storage->Persist(HardState{1, "a"}, Entries(index, index, 1, 1 << 20))
              .has_value());
    }
    const size_t before = files.files().size();
    EXPECT_GT(before, 3U);
    ASSERT_TRUE(
        storage->MarkSnapshot(SnapshotMark{45, 1, {}}, false).has_value());
    EXPECT_LT(files.files().size(), before);
  }
  RaftPersistentState found;
  const auto reopened = RaftStorage::Open(files, "log", found);
  ASSERT_TRUE(reopened.has_value()) << reopened.error().detail;
  EXPECT_EQ(found.snapshot.index, 45U);
  ASSERT_EQ(found.entries.size(), 15U);
  EXPECT_EQ(found.entries.front().index(), 46U);
  EXPECT_EQ(found.hard_state.voted_for, "a");
}

TEST(SnapshotFileTest, RoundTripsAndDetectsCorruption) {
  MemoryFiles files;
  int left = 500;
  const auto source = [&left](proto::SnapshotPart& part) {
    part.Clear();
    part.mutable_key()->set_key_id("key " + std::to_string(left));
    return left-- > 0;
  };
  SnapshotMark mark{7, 3, {}};
  mark.membership.add_voters("a@1");
  ASSERT_TRUE(WriteSnapshot(files, "folder", mark, source).has_value());
  int parts = 0;
  const auto count = [&parts](const proto::SnapshotPart&) { ++parts; };
  const auto loaded = LoadSnapshot(files, "folder", 7, count);
  ASSERT_TRUE(loaded.has_value());
  EXPECT_EQ(parts, 500);
  EXPECT_EQ(loaded->term, 3U);
  EXPECT_EQ(loaded->membership.voters(0), "a@1");
  std::string& data = files.files().at("folder/" + SnapshotFileName(7)).data;
  data[data.size() / 2] ^= 1;
  const auto damaged = LoadSnapshot(files, "folder", 7, count);
  ASSERT_FALSE(damaged.has_value());
  EXPECT_EQ(damaged.error().code, ErrorCode::kCorrupt);
  data.resize(data.size() / 3);
  EXPECT_FALSE(LoadSnapshot(files, "folder", 7, count).has_value());
}

TEST(BlobStoreTest, DeduplicatesVerifiesAndCollects) {
  MemoryFiles files;
  auto store = *BlobStore::Open(files, "blobs");
  const std::string name = Sha256Hex("content");
  EXPECT_FALSE(store->Put(Sha256Hex("other"), "content").has_value());
  ASSERT_TRUE(store->Put(name, "content").has_value());
  ASSERT_TRUE(store->Put(name, "content").has_value());
  EXPECT_EQ(*store->Read(name), "content");
  EXPECT_EQ(store->Read(Sha256Hex("none")).error().code, ErrorCode::kNotFound);
  ASSERT_TRUE(store->Collect({}, UnixMs() - 1'000).has_value());
  EXPECT_TRUE(store->Has(name));  // Stored too recently.
  ASSERT_TRUE(store->Collect({name}, UnixMs() + 1'000).has_value());
  EXPECT_TRUE(store->Has(name));  // Still referenced.
  files.files().at("blobs/" + name).data[0] ^= 1;
  EXPECT_EQ(store->Read(name).error().code, ErrorCode::kCorrupt);
  // The corrupt blob is reported as missing, so that it is fetched again.
  EXPECT_FALSE(store->Has(name));
  ASSERT_TRUE(store->Put(name, "content").has_value());
  ASSERT_TRUE(store->Collect({}, UnixMs() + 1'000).has_value());
  EXPECT_FALSE(store->Has(name));
}

// Reading a directory fails with an I/O error after it was opened. The caller
// must not take that for the end of a file.
TEST(PosixFileSystemTest, AReadErrorIsNoEndOfFile) {
  const auto files = MakePosixFileSystem();
  const auto read = files->Read("/tmp");
  ASSERT_FALSE(read.has_value());
  EXPECT_EQ(read.error().code, ErrorCode::kIo);
}

TEST(WriteFileDurablyTest, CrashLeavesOldOrNewContent) {
  for (int fail_at = 1; fail_at <= 6; ++fail_at) {
    MemoryFiles files;
    ASSERT_TRUE(WriteFileDurably(files, "f", "name", "old").has_value());
    files.FailOperation(files.operations() + fail_at);
    const bool written =
        WriteFileDurably(files, "f", "name", "new").has_value();
    files.Crash(0);
    const std::string content = *files.Read("f/name");
    EXPECT_TRUE(content == "old" || content == "new") << content;
    EXPECT_TRUE(!written || content == "new");
  }
}

}  // namespace
}  // namespace sequoialb
