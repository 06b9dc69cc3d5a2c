// Tests that the journal survives the failure of any file operation followed by
// a crash: reopening it finds all synced records in order, followed by at most
// a prefix of the unsynced ones.
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "../fakes/memory_files.h"
#include "journal/journal.h"

namespace sequoialb {
namespace {

using fakes::MemoryFiles;

std::vector<std::string> ReadBack(MemoryFiles& files) {
  std::vector<std::string> found;
  const auto journal = Journal::Open(
      files, "log", [&](uint64_t, uint32_t, std::string_view payload) {
        found.emplace_back(payload);
        return Status();
      });
  RC_ASSERT(journal.has_value());
  return found;
}

void SurvivesAFailureAtAnyOperation() {
  MemoryFiles files;
  std::vector<std::string> written;
  size_t synced = 0;
  const int failing_operation = *rc::gen::inRange(1, 60);
  files.FailOperation(failing_operation);
  const auto ignore = [](uint64_t, uint32_t, std::string_view) {
    return Status();
  };
  auto opened = Journal::Open(files, "log", ignore);
  const int steps = *rc::gen::inRange(1, 30);
  bool usable = opened.has_value();
  for (int i = 0; usable && i < steps; ++i) {
    const int action = *rc::gen::inRange(0, 10);
    if (action < 6) {
      written.push_back("record " + std::to_string(i) +
                        std::string(static_cast<size_t>(i), 'x'));
      usable = (*opened)->Append(1, written.back()).has_value();
    } else if (action < 9) {
      usable = (*opened)->Sync().has_value();
      synced = usable ? written.size() : synced;
    } else {
      usable = (*opened)->StartSegment().has_value();
      synced = usable ? written.size() : synced;
    }
  }
  if (opened.has_value() && !usable) {
    // After a failure the journal must reject further syncs.
    RC_ASSERT(!(*opened)->Sync().has_value());
  }
  files.Crash(*rc::gen::inRange<size_t>(0, 100));
  const std::vector<std::string> found = ReadBack(files);
  RC_ASSERT(found.size() >= synced);
  RC_ASSERT(found.size() <= written.size());
  RC_ASSERT(std::equal(found.begin(), found.end(), written.begin()));
  // A second opening finds the same records: the torn tail stays truncated.
  RC_ASSERT(ReadBack(files) == found);
}

void RefusesDamageInTheMiddle() {
  MemoryFiles files;
  const auto ignore = [](uint64_t, uint32_t, std::string_view) {
    return Status();
  };
  auto journal = *Journal::Open(files, "log", ignore);
  for (int i = 0; i < 8; ++i) {
    RC_ASSERT(journal->Append(1, "record " + std::to_string(i)).has_value());
  }
  RC_ASSERT(journal->Sync().has_value());
  std::string& data = files.files().begin()->second.data;
  // Damages any frame but the last, where damage would count as a torn tail.
  const size_t frame_bytes = data.size() / 8;
  const size_t damaged_offset =
      *rc::gen::inRange<size_t>(0, data.size() - frame_bytes);
  data[damaged_offset] =
      static_cast<char>(data[damaged_offset] ^ (1 << *rc::gen::inRange(0, 8)));
  const auto reopened = Journal::Open(files, "log", ignore);
  RC_ASSERT(!reopened.has_value());
  RC_ASSERT(reopened.error().code == ErrorCode::kCorrupt);
  RC_ASSERT(reopened.error().detail.find("offset") != std::string::npos);
}

}  // namespace
}  // namespace sequoialb

int main() {
  bool ok =
      rc::check("a failure at any operation loses nothing that was synced",
                sequoialb::SurvivesAFailureAtAnyOperation);
  ok &= rc::check("damage in the middle is refused, never truncated",
                  sequoialb::RefusesDamageInTheMiddle);
  return ok ? 0 : 1;
}
