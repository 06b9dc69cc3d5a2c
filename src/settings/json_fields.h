// Checked reading of JSON with comments.
//
// Settings files and service documents are written by people, so every refusal
// names the line, the path of the field and what to write instead. A field that
// no reader asked for is refused too: a misspelt name must never be ignored.
//
// Worked example, for the text {"port": "80"}:
//
//   auto document = JsonDocument::Parse(text, "host.json");
//   FieldReader reader(*document);
//   uint64_t port = reader.Uint("port", {.min = 1, .max = 65535});
//   Status status = reader.Finish();
//   // "host.json:1: port: expected a whole number from 1 to 65535"
//
// The first problem is kept and later reads return defaults, so that a reader
// stays a flat list of fields with a single check at its end.
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

// A parsed text together with what is needed to name a line in it.
struct JsonDocument {
  // Parses JSON with // and /* */ comments. Duplicate fields, trailing text and
  // a root that is not an object are refused with kMalformed.
  static Result<JsonDocument> Parse(const std::string& text,
                                    const std::string& origin);

  Json::Value root;
  std::string text;
  // The file or document that errors name.
  std::string origin;
};

// The range of a whole number; both ends are allowed values.
struct UintRange {
  uint64_t min = 0;
  uint64_t max = std::numeric_limits<uint64_t>::max();
};

// Reads the fields of one object. Nested readers report into the same error.
class FieldReader {
 public:
  explicit FieldReader(const JsonDocument& document);

  // Each of these reads one field; without `otherwise` the field is required.
  std::string String(
      const std::string& name,
      const std::optional<std::string>& default_value = std::nullopt);
  uint64_t Uint(const std::string& name, UintRange range,
                std::optional<uint64_t> default_value = std::nullopt);
  double Number(const std::string& name, double min, double max,
                std::optional<double> default_value = std::nullopt);
  bool Bool(const std::string& name, bool default_value);
  std::vector<std::string> Strings(const std::string& name);

  // Reads a string that must be one of `names` and returns its position.
  size_t OneOf(const std::string& name, const std::vector<std::string>& names,
               size_t default_index);

  // Returns a reader for a nested object; a missing one reads as empty.
  FieldReader Object(const std::string& name);
  bool Has(const std::string& name) const;

  // Returns one reader for each object of a list.
  std::vector<FieldReader> Objects(const std::string& name);

  // Records a problem with a field, unless one was recorded before.
  void RecordError(const std::string& name, const std::string& problem,
                   ErrorCode code = ErrorCode::kInvalidField);

  // Refuses fields that nothing read. Call after the last read of this object.
  void RejectUnknownFields();

  // Returns the first problem of this reader and all that came from it.
  Status Finish();

  // The same, for texts in which newer programs may know more: returns the
  // names of fields that nothing read instead of refusing them.
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
