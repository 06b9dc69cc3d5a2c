// Times the durable side by itself: records a second through the journal with
// group commit, and how long a replica takes to come back with many records.
// Usage: records_bench FOLDER; the folder is left empty.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "consensus/raft_storage.h"
#include "consensus/snapshot_file.h"
#include "journal/file_system.h"
#include "ledger/ledger.h"

namespace {

using namespace sequoialb;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kRecords = 100'000;
constexpr uint64_t kItems = 1'000'000;
constexpr uint64_t kChanges = 2'500;

proto::Command AcceptItem(uint64_t number) {
  proto::Command command;
  proto::ItemRecord& item = *command.mutable_accept_item()->mutable_item();
  item.set_id("item-" + std::to_string(number));
  item.set_account("account-" + std::to_string(number % 1'000));
  item.set_service("cart-desk");
  item.set_idempotent(true);
  item.set_body(std::string(300, 'b'));
  item.set_owner("h1");
  item.set_owner_incarnation(1);
  return command;
}

// Returns the resident memory of this process in MB.
double MemoryMb() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Seconds(TimePoint since) { return ToSeconds(Clock::now() - since); }

void TimeJournal(FileSystem& files, const std::string& folder, uint64_t group) {
  RaftPersistentState found;
  auto storage =
      *RaftStorage::Open(files, folder + "/log" + std::to_string(group), found);
  const std::string bytes = AcceptItem(1).SerializeAsString();
  const uint64_t records = group == 1 ? kRecords / 50 : kRecords;
  const TimePoint begin = Clock::now();
  for (uint64_t index = 1; index <= records; index += group) {
    std::vector<proto::LogEntry> entries(group);
    for (uint64_t i = 0; i < group; ++i) {
      entries[i].set_index(index + i);
      entries[i].set_term(1);
      entries[i].set_command(bytes);
    }
    if (!storage->Persist(std::nullopt, entries)) {
      std::cerr << "the disk failed\n";
      return;
    }
  }
  std::cout << "journal, " << group << " records a sync: "
            << static_cast<uint64_t>(static_cast<double>(records) /
                                     Seconds(begin))
            << " records a second\n";
}

void TimeRestart(FileSystem& files, const std::string& folder) {
  Ledger ledger;
  uint64_t index = 0;
  TimePoint begin = Clock::now();
  const double memory_before = MemoryMb();
  for (uint64_t i = 0; i < kItems; ++i) {
    ledger.Apply(++index, AcceptItem(i));
  }
  std::cout << "memory of " << kItems
            << " items with bodies of 300 bytes: " << MemoryMb() - memory_before
            << " MB\n";
  for (uint64_t i = 0; i < kChanges; ++i) {
    proto::Command command;
    proto::PutDocument& put = *command.mutable_put_document();
    put.set_base_version(i);
    put.mutable_document()->set_service("cart-desk");
    put.mutable_document()->set_content(std::string(1'500, 'd') +
                                        std::to_string(i));
    ledger.Apply(++index, command);
  }
  std::cout << "applying " << kItems << " items and " << kChanges
            << " changes: " << Seconds(begin) << " s\n";
  begin = Clock::now();
  const SnapshotSource source = ledger.MakeSnapshotSource();
  std::cout << "freezing the state for a snapshot: " << Seconds(begin)
            << " s\n";
  begin = Clock::now();
  if (!WriteSnapshot(files, folder, SnapshotMark{index, 1, {}}, source)) {
    std::cerr << "the disk failed\n";
    return;
  }
  std::cout << "writing the snapshot: " << Seconds(begin) << " s\n";
  begin = Clock::now();
  Ledger loaded;
  const auto mark = LoadSnapshot(
      files, folder, index,
      [&loaded](const proto::SnapshotPart& part) { loaded.LoadPart(part); });
  std::cout << "coming back from it: " << Seconds(begin) << " s, "
            << loaded.items().records().size() << " items\n";
  if (!mark) {
    std::cerr << mark.error().detail << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: records_bench FOLDER\n";
    return 2;
  }
  const std::string folder = std::string(argv[1]) + "/records_bench";
  std::filesystem::create_directories(folder);
  const auto files = MakePosixFileSystem();
  for (const uint64_t group : {1U, 16U, 256U}) {
    TimeJournal(*files, folder, group);
  }
  TimeRestart(*files, folder);
  std::filesystem::remove_all(folder);
  return 0;
}
