// Reads JSON with comments and validates every field.
//
// Settings files and service documents are written by people, so every error
// names the line, the path of the field and what to write instead. A field that
// was never read is rejected too, because a misspelt name must not be ignored.
//
// Worked example, for the text {"port": "80"}:
//
//   auto document = JsonDocument::Parse(text, "host.json");
//   FieldReader reader(*document);
//   uint64_t port = reader.Uint("port", {.min = 1, .max = 65535});
//   Status status = reader.Finish();
//   // "host.json:1: port: expected a whole number from 1 to 65535"
//
// Only the first error is kept, and later reads return defaults. Calling code
// can therefore read all fields in sequence and check for an error once at the
// end.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"

namespace sequoialb {

// A parsed text, with the source text from which errors compute line numbers.
struct JsonDocument {
  // Parses JSON with // and /* */ comments. Duplicate fields, trailing text and
  // a root that is not an object are rejected with kMalformed.
  static Result<JsonDocument> Parse(const std::string& text,
                                    const std::string& origin);

  Json::Value root;
  std::string text;
  // The name of the file or document, for error messages.
  std::string origin;
};

// The allowed range of an integer, including both ends.
struct UintRange {
  uint64_t min = 0;
  uint64_t max = std::numeric_limits<uint64_t>::max();
};

// Reads the fields of one object. A reader and its nested readers share one
// error.
class FieldReader {
 public:
  explicit FieldReader(const JsonDocument& document);

  // Each of these reads one field; without `default_value` the field is
  // required.
  std::string String(
      const std::string& name,
      const std::optional<std::string>& default_value = std::nullopt);
  uint64_t Uint(const std::string& name, UintRange range,
                std::optional<uint64_t> default_value = std::nullopt);
  double Number(const std::string& name, double min, double max,
                std::optional<double> default_value = std::nullopt);
  bool Bool(const std::string& name, bool default_value);
  std::vector<std::string> Strings(const std::string& name);

  // Reads a string that must be one of `names` and returns its index.
  size_t OneOf(const std::string& name, const std::vector<std::string>& names,
               size_t default_index);

  // Returns a reader for a nested object; a missing one reads as empty.
  FieldReader Object(const std::string& name);
  bool Has(const std::string& name) const;

  // Returns one reader for each object of a list.
  std::vector<FieldReader> Objects(const std::string& name);

  // Records an error for a field, unless an error was already recorded.
  void RecordError(const std::string& name, const std::string& problem,
                   ErrorCode code = ErrorCode::kInvalidField);

  // Rejects fields that were not read. Call after the last read of this object.
  void RejectUnknownFields();

  // Calls RejectUnknownFields(), then returns the first error of this reader
  // and its nested readers.
  Status Finish();

  // Like Finish(), for texts that may contain fields of a newer version:
  // returns the names of the fields that were not read instead of rejecting
  // them.
  Result<std::vector<std::string>> FinishIgnoringUnknownFields();

 private:
  struct SharedState {
    const JsonDocument* document = nullptr;
    std::optional<Error> error;
  };

  FieldReader(std::shared_ptr<SharedState> shared, const Json::Value* value,
              std::string path);
  const Json::Value* Find(const std::string& name, bool required);
  std::string PathOf(const std::string& name) const;

  std::shared_ptr<SharedState> shared_;
  const Json::Value* value_;
  std::string path_;
  std::set<std::string> read_fields_;
};

// Returns a JSON value as one line of text without a trailing newline.
std::string JsonLine(const Json::Value& value);

}  // namespace sequoialb
