#include "settings/json_fields.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>

namespace sequoialb {
namespace {

size_t LineNumber(const std::string& text, ptrdiff_t offset) {
  const auto end =
      text.begin() +
      std::min<ptrdiff_t>(offset, static_cast<ptrdiff_t>(text.size()));
  return 1 + static_cast<size_t>(std::count(text.begin(), end, '\n'));
}

const Json::Value& EmptyObject() {
  static const Json::Value kEmpty(Json::objectValue);
  return kEmpty;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) {
    out += out.empty() ? "" : ", ";
    out += '"' + name + '"';
  }
  return out;
}

std::string JoinLines(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

Result<JsonDocument> JsonDocument::Parse(const std::string& text,
                                         const std::string& origin) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  JsonDocument document;
  std::string errors;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(),
                           &document.root, &errors);
  } catch (const Json::Exception& e) {
    errors = e.what();
  }
  if (!parsed) {
    return Fail(ErrorCode::kMalformed, origin + ": " + JoinLines(errors));
  }
  if (!document.root.isObject()) {
    return Fail(ErrorCode::kMalformed, origin + ":1: expected a JSON object");
  }
  document.text = text;
  document.origin = origin;
  return document;
}

FieldReader::FieldReader(const JsonDocument& document)
    : shared_(std::make_shared<SharedState>()), value_(&document.root) {
  shared_->document = &document;
}

FieldReader::FieldReader(std::shared_ptr<SharedState> shared,
                         const Json::Value* value, std::string path)
    : shared_(std::move(shared)), value_(value), path_(std::move(path)) {}

std::string FieldReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

const Json::Value* FieldReader::Find(const std::string& name, bool required) {
  read_fields_.insert(name);
  const Json::Value* found =
      value_->find(name.data(), name.data() + name.size());
  if (found == nullptr && required) {
    RecordError(name, "is missing and has no default");
  }
  return found;
}

bool FieldReader::Has(const std::string& name) const {
  return value_->isMember(name);
}

void FieldReader::RecordError(const std::string& name,
                              const std::string& problem, ErrorCode code) {
  if (shared_->error) {
    return;
  }
  const Json::Value* found =
      value_->find(name.data(), name.data() + name.size());
  const ptrdiff_t offset =
      found != nullptr ? found->getOffsetStart() : value_->getOffsetStart();
  const JsonDocument& document = *shared_->document;
  const std::string location =
      document.origin + ":" + std::to_string(LineNumber(document.text, offset));
  shared_->error = Error{code, location + ": " + PathOf(name) + ": " + problem};
}

std::string FieldReader::String(
    const std::string& name, const std::optional<std::string>& default_value) {
  const Json::Value* found = Find(name, !default_value);
  if (found == nullptr) {
    return default_value.value_or("");
  }
  if (!found->isString()) {
    RecordError(name, "expected a string in quotes");
    return "";
  }
  return found->asString();
}

uint64_t FieldReader::Uint(const std::string& name, UintRange range,
                           std::optional<uint64_t> default_value) {
  const Json::Value* found = Find(name, !default_value);
  if (found == nullptr) {
    return default_value.value_or(range.min);
  }
  if (!found->isUInt64() || found->asUInt64() < range.min ||
      found->asUInt64() > range.max) {
    RecordError(name, "expected a whole number from " +
                          std::to_string(range.min) + " to " +
                          std::to_string(range.max));
    return range.min;
  }
  return found->asUInt64();
}

double FieldReader::Number(const std::string& name, double min, double max,
                           std::optional<double> default_value) {
  const Json::Value* found = Find(name, !default_value);
  if (found == nullptr) {
    return default_value.value_or(min);
  }
  const bool in_range = found->isNumeric() &&
                        std::isfinite(found->asDouble()) &&
                        found->asDouble() >= min && found->asDouble() <= max;
  if (!in_range) {
    RecordError(name, "expected a number from " + std::to_string(min) + " to " +
                          std::to_string(max));
    return min;
  }
  return found->asDouble();
}

bool FieldReader::Bool(const std::string& name, bool default_value) {
  const Json::Value* found = Find(name, false);
  if (found == nullptr) {
    return default_value;
  }
  if (!found->isBool()) {
    RecordError(name, "expected true or false");
    return default_value;
  }
  return found->asBool();
}

std::vector<std::string> FieldReader::Strings(const std::string& name) {
  const Json::Value* found = Find(name, false);
  std::vector<std::string> out;
  if (found == nullptr) {
    return out;
  }
  if (!found->isArray()) {
    RecordError(name, "expected a list of strings");
    return out;
  }
  for (const Json::Value& entry : *found) {
    if (!entry.isString()) {
      RecordError(name, "expected a list of strings");
      return out;
    }
    out.push_back(entry.asString());
  }
  return out;
}

size_t FieldReader::OneOf(const std::string& name,
                          const std::vector<std::string>& names,
                          size_t default_index) {
  const Json::Value* found = Find(name, false);
  if (found == nullptr) {
    return default_index;
  }
  const auto match = found->isString() ? std::find(names.begin(), names.end(),
                                                   found->asString())
                                       : names.end();
  if (match == names.end()) {
    RecordError(name, "expected one of " + JoinNames(names));
    return default_index;
  }
  return static_cast<size_t>(match - names.begin());
}

FieldReader FieldReader::Object(const std::string& name) {
  const Json::Value* found = Find(name, false);
  if (found != nullptr && !found->isObject()) {
    RecordError(name, "expected an object in braces");
    found = nullptr;
  }
  return {shared_, found == nullptr ? &EmptyObject() : found, PathOf(name)};
}

std::vector<FieldReader> FieldReader::Objects(const std::string& name) {
  const Json::Value* found = Find(name, false);
  std::vector<FieldReader> out;
  if (found == nullptr) {
    return out;
  }
  if (!found->isArray()) {
    RecordError(name, "expected a list of objects");
    return out;
  }
  for (Json::ArrayIndex i = 0; i < found->size(); ++i) {
    const Json::Value& entry = (*found)[i];
    if (!entry.isObject()) {
      RecordError(name, "expected a list of objects");
      return out;
    }
    const std::string path = PathOf(name) + "[" + std::to_string(i) + "]";
    out.push_back(FieldReader(shared_, &entry, path));
  }
  return out;
}

void FieldReader::RejectUnknownFields() {
  for (const std::string& name : value_->getMemberNames()) {
    if (read_fields_.count(name) == 0) {
      RecordError(name, "is not a known field; remove it or correct its name",
                  ErrorCode::kUnknownField);
    }
  }
}

Result<std::vector<std::string>> FieldReader::FinishIgnoringUnknownFields() {
  if (shared_->error) {
    return tl::unexpected<Error>(*shared_->error);
  }
  std::vector<std::string> unknown;
  for (const std::string& name : value_->getMemberNames()) {
    if (read_fields_.count(name) == 0) {
      unknown.push_back(name);
    }
  }
  return unknown;
}

Status FieldReader::Finish() {
  RejectUnknownFields();
  if (shared_->error) {
    return tl::unexpected<Error>(*shared_->error);
  }
  return {};
}

std::string JsonLine(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

}  // namespace sequoialb
