#include "settings/json_fields.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>

namespace sequoialb {
namespace {

size_t LineOf(const std::string& text, ptrdiff_t offset) {
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

std::string FirstLine(std::string text) {
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
  std::string problem;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(),
                           &document.root, &problem);
  } catch (const Json::Exception& e) {
    problem = e.what();
  }
  if (!parsed) {
    return Fail(ErrorCode::kMalformed, origin + ": " + FirstLine(problem));
  }
  if (!document.root.isObject()) {
    return Fail(ErrorCode::kMalformed, origin + ":1: expected a JSON object");
  }
  document.text = text;
  document.origin = origin;
  return document;
}

FieldReader::FieldReader(const JsonDocument& document)
    : shared_(std::make_shared<Shared>()), value_(&document.root) {
  shared_->document = &document;
}

FieldReader::FieldReader(std::shared_ptr<Shared> shared,
                         const Json::Value* value, std::string path)
    : shared_(std::move(shared)), value_(value), path_(std::move(path)) {}

std::string FieldReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

const Json::Value* FieldReader::Find(const std::string& name, bool required) {
  read_.insert(name);
  const Json::Value* found =
      value_->find(name.data(), name.data() + name.size());
  if (found == nullptr && required) {
    Refuse(name, "is missing and has no default");
  }
  return found;
}

bool FieldReader::Has(const std::string& name) const {
  return value_->isMember(name);
}

void FieldReader::Refuse(const std::string& name, const std::string& problem,
                         ErrorCode code) {
  if (shared_->error) {
    return;
  }
  const Json::Value* found =
      value_->find(name.data(), name.data() + name.size());
  const ptrdiff_t offset =
      found != nullptr ? found->getOffsetStart() : value_->getOffsetStart();
  const JsonDocument& document = *shared_->document;
  const std::string where =
      document.origin + ":" + std::to_string(LineOf(document.text, offset));
  shared_->error = Error{code, where + ": " + PathOf(name) + ": " + problem};
}

std::string FieldReader::String(const std::string& name,
                                const std::optional<std::string>& otherwise) {
  const Json::Value* found = Find(name, !otherwise);
  if (found == nullptr) {
    return otherwise.value_or("");
  }
  if (!found->isString()) {
    Refuse(name, "expected a string in quotes");
    return "";
  }
  return found->asString();
}

uint64_t FieldReader::Uint(const std::string& name, UintRange range,
                           std::optional<uint64_t> otherwise) {
  const Json::Value* found = Find(name, !otherwise);
  if (found == nullptr) {
    return otherwise.value_or(range.least);
  }
  if (!found->isUInt64() || found->asUInt64() < range.least ||
      found->asUInt64() > range.most) {
    Refuse(name, "expected a whole number from " + std::to_string(range.least) +
                     " to " + std::to_string(range.most));
    return range.least;
  }
  return found->asUInt64();
}

double FieldReader::Number(const std::string& name, double least, double most,
                           std::optional<double> otherwise) {
  const Json::Value* found = Find(name, !otherwise);
  if (found == nullptr) {
    return otherwise.value_or(least);
  }
  const bool in_range = found->isNumeric() &&
                        std::isfinite(found->asDouble()) &&
                        found->asDouble() >= least && found->asDouble() <= most;
  if (!in_range) {
    Refuse(name, "expected a number from " + std::to_string(least) + " to " +
                     std::to_string(most));
    return least;
  }
  return found->asDouble();
}

bool FieldReader::Bool(const std::string& name, bool otherwise) {
  const Json::Value* found = Find(name, false);
  if (found == nullptr) {
    return otherwise;
  }
  if (!found->isBool()) {
    Refuse(name, "expected true or false");
    return otherwise;
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
    Refuse(name, "expected a list of strings");
    return out;
  }
  for (const Json::Value& entry : *found) {
    if (!entry.isString()) {
      Refuse(name, "expected a list of strings");
      return out;
    }
    out.push_back(entry.asString());
  }
  return out;
}

size_t FieldReader::OneOf(const std::string& name,
                          const std::vector<std::string>& names,
                          size_t otherwise) {
  const Json::Value* found = Find(name, false);
  if (found == nullptr) {
    return otherwise;
  }
  const auto match = found->isString() ? std::find(names.begin(), names.end(),
                                                   found->asString())
                                       : names.end();
  if (match == names.end()) {
    Refuse(name, "expected one of " + JoinNames(names));
    return otherwise;
  }
  return static_cast<size_t>(match - names.begin());
}

FieldReader FieldReader::Object(const std::string& name) {
  const Json::Value* found = Find(name, false);
  if (found != nullptr && !found->isObject()) {
    Refuse(name, "expected an object in braces");
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
    Refuse(name, "expected a list of objects");
    return out;
  }
  for (Json::ArrayIndex i = 0; i < found->size(); ++i) {
    const Json::Value& entry = (*found)[i];
    if (!entry.isObject()) {
      Refuse(name, "expected a list of objects");
      return out;
    }
    const std::string path = PathOf(name) + "[" + std::to_string(i) + "]";
    out.push_back(FieldReader(shared_, &entry, path));
  }
  return out;
}

void FieldReader::RefuseUnknown() {
  for (const std::string& name : value_->getMemberNames()) {
    if (read_.count(name) == 0) {
      Refuse(name, "is not a known field; remove it or correct its name",
             ErrorCode::kUnknownField);
    }
  }
}

Result<std::vector<std::string>> FieldReader::FinishIgnoringUnknown() {
  if (shared_->error) {
    return tl::unexpected<Error>(*shared_->error);
  }
  std::vector<std::string> unknown;
  for (const std::string& name : value_->getMemberNames()) {
    if (read_.count(name) == 0) {
      unknown.push_back(name);
    }
  }
  return unknown;
}

Status FieldReader::Finish() {
  RefuseUnknown();
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
