#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace sequoialb {
namespace {

// Trailer fields are checked and dropped; more than this is malformed.
constexpr size_t kMaxTrailerBytes = 16'384;
constexpr size_t kMaxChunkDigits = 15;
constexpr uint64_t kSwitchingProtocols = 101;

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), &Lower);
  return lower;
}

bool IsTokenChar(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
         kMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

// Whether `char` is signed depends on the machine.
bool IsVisible(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > ' ' && byte < 0x7f;
}

// Field values may hold tabs and bytes over 127, but no other control bytes.
bool IsFieldChar(char c) {
  return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

tl::unexpected<Error> Malformed(std::string detail) {
  return Fail(ErrorCode::kMalformed, std::move(detail));
}

// Removes one line that ends with CR LF from the front of `rest`.
std::optional<std::string_view> TakeLine(std::string_view& rest) {
  const size_t end = rest.find("\r\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end + 2);
  return line;
}

Result<HttpHeader> ParseField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return Malformed("a header line has no colon");
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!IsToken(name)) {
    return Malformed(
        "a header name is empty or contains white space or another invalid "
        "character");
  }
  if (!IsHeaderValue(value)) {
    return Malformed("a header value contains a control character");
  }
  return HttpHeader{std::string(name), std::string(value)};
}

Status ParseFields(std::string_view rest, HttpHeaders& headers) {
  while (true) {
    const auto line = TakeLine(rest);
    if (!line) {
      return Malformed("a header line does not end with CR LF");
    }
    if (line->empty()) {
      return {};
    }
    auto field = ParseField(*line);
    if (!field) {
      return tl::unexpected<Error>(field.error());
    }
    headers.Add(std::move(field->name), std::move(field->value));
  }
}

bool HasListToken(const HttpHeaders& headers, std::string_view field,
                  std::string_view token) {
  for (const HttpHeader& header : headers.fields()) {
    if (!EqualsIgnoringCase(header.name, field)) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      if (EqualsIgnoringCase(Trim(rest.substr(0, comma)), token)) {
        return true;
      }
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  return false;
}

// Sets `framing` and `length` from Content-Length or Transfer-Encoding; leaves
// them unchanged if neither field is present.
Status ParseFraming(const HttpHeaders& headers, BodyFraming& framing,
                    uint64_t& length) {
  const size_t lengths = headers.Count("Content-Length");
  const size_t codings = headers.Count("Transfer-Encoding");
  if (lengths + codings > 1) {
    return Malformed("more than one Content-Length or Transfer-Encoding field");
  }
  if (codings == 1) {
    if (!EqualsIgnoringCase(*headers.Find("Transfer-Encoding"), "chunked")) {
      return Malformed(
          "unsupported transfer coding: only chunked is supported");
    }
    framing = BodyFraming::kChunked;
  }
  if (lengths == 1) {
    const auto parsed = ParseDecimal(*headers.Find("Content-Length"));
    if (!parsed) {
      return Malformed("Content-Length is not a whole number");
    }
    framing = BodyFraming::kLength;
    length = *parsed;
  }
  return {};
}

// Returns 0 for HTTP/1.0, 1 for HTTP/1.1, and nullopt for anything else.
std::optional<int> MinorVersion(std::string_view version) {
  if (version == "HTTP/1.1") {
    return 1;
  }
  if (version == "HTTP/1.0") {
    return 0;
  }
  return std::nullopt;
}

bool KeepsAlive(const HttpHeaders& headers, int minor) {
  if (HasListToken(headers, "Connection", "close")) {
    return false;
  }
  return minor == 1 || HasListToken(headers, "Connection", "keep-alive");
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& header : fields_) {
    if (EqualsIgnoringCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

size_t HttpHeaders::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [&](const HttpHeader& h) { return EqualsIgnoringCase(h.name, name); }));
}

std::string_view RequestHead::path() const {
  return std::string_view{target}.substr(0, target.find('?'));
}

std::string_view RequestHead::query() const {
  const size_t mark = target.find('?');
  return mark == std::string::npos ? std::string_view()
                                   : std::string_view{target}.substr(mark + 1);
}

NamedRequest RequestNamedBy(const ResponseHead& head, std::string_view field,
                            std::string_view id) {
  const std::string* named = head.headers.Find(field);
  if (named == nullptr) {
    return NamedRequest::kNone;
  }
  return *named == id ? NamedRequest::kThis : NamedRequest::kOther;
}

std::optional<size_t> HeadSize(std::string_view bytes) {
  const size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  return end + 4;
}

bool IsRequestTarget(std::string_view text) {
  return !text.empty() && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), IsVisible);
}

bool IsHeaderName(std::string_view text) { return IsToken(text); }

bool IsHeaderValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsFieldChar);
}

std::optional<uint64_t> ParseDecimal(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || rest != end ||
      text.front() == '-' || text.front() == '+') {
    return std::nullopt;
  }
  return value;
}

Result<RequestHead> ParseRequestHead(std::string_view head) {
  const auto line = TakeLine(head);
  if (!line) {
    return Malformed("the request line does not end with CR LF");
  }
  const size_t first = line->find(' ');
  const size_t last = line->rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return Malformed("the request line does not have three parts");
  }
  RequestHead request;
  request.method = line->substr(0, first);
  request.target = line->substr(first + 1, last - first - 1);
  const auto minor = MinorVersion(line->substr(last + 1));
  if (!IsToken(request.method) || !minor) {
    return Malformed(
        "the method is invalid or the HTTP version is not supported");
  }
  if (!IsRequestTarget(request.target)) {
    return Malformed("the request target is not a path");
  }
  const Status fields = ParseFields(head, request.headers);
  if (!fields) {
    return tl::unexpected<Error>(fields.error());
  }
  const Status framed =
      ParseFraming(request.headers, request.framing, request.length);
  if (!framed) {
    return tl::unexpected<Error>(framed.error());
  }
  if (request.headers.Count("Host") != 1) {
    return Malformed("a request must have exactly one Host field");
  }
  request.keep_alive = KeepsAlive(request.headers, *minor);
  return request;
}

Result<ResponseHead> ParseResponseHead(std::string_view head,
                                       bool to_head_request) {
  constexpr size_t kVersionSize = 8;
  constexpr size_t kStatusEnd = 12;
  const auto line = TakeLine(head);
  if (!line || line->size() < kStatusEnd || (*line)[kVersionSize] != ' ' ||
      (line->size() > kStatusEnd && (*line)[kStatusEnd] != ' ') ||
      !IsHeaderValue(line->substr(kStatusEnd))) {
    return Malformed("the status line is malformed");
  }
  const auto minor = MinorVersion(line->substr(0, kVersionSize));
  const auto status = ParseDecimal(line->substr(kVersionSize + 1, 3));
  if (!minor || !status || *status < 100 || *status > 599) {
    return Malformed(
        "the HTTP version is not supported or the status is invalid");
  }
  if (*status == kSwitchingProtocols) {
    return Malformed("the server switches to a protocol that is not offered");
  }
  ResponseHead response;
  response.status = static_cast<int>(*status);
  const Status fields = ParseFields(head, response.headers);
  if (!fields) {
    return tl::unexpected<Error>(fields.error());
  }
  response.framing = BodyFraming::kUntilClose;
  const Status framed =
      ParseFraming(response.headers, response.framing, response.length);
  if (!framed) {
    return tl::unexpected<Error>(framed.error());
  }
  const bool bodiless = to_head_request || response.status < 200 ||
                        response.status == 204 || response.status == 304;
  if (bodiless) {
    response.framing = BodyFraming::kNone;
  }
  response.keep_alive = KeepsAlive(response.headers, *minor) &&
                        response.framing != BodyFraming::kUntilClose;
  return response;
}

HopByHopFields::HopByHopFields(const HttpHeaders& headers) {
  for (const HttpHeader& header : headers.fields()) {
    if (!EqualsIgnoringCase(header.name, "Connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      named_.push_back(LowerCase(Trim(rest.substr(0, comma))));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  std::sort(named_.begin(), named_.end());
}

bool HopByHopFields::Contains(std::string_view name) const {
  constexpr std::array<std::string_view, 10> kNames = {"Connection",
                                                       "Keep-Alive",
                                                       "Proxy-Connection",
                                                       "Transfer-Encoding",
                                                       "TE",
                                                       "Trailer",
                                                       "Upgrade",
                                                       "Expect",
                                                       "Proxy-Authenticate",
                                                       "Proxy-Authorization"};
  return std::any_of(
             kNames.begin(), kNames.end(),
             [&](std::string_view n) { return EqualsIgnoringCase(n, name); }) ||
         std::binary_search(named_.begin(), named_.end(), LowerCase(name));
}

BodyDecoder::BodyDecoder(BodyFraming framing, uint64_t length)
    : framing_(framing), remaining_(length) {
  if (framing == BodyFraming::kNone ||
      (framing == BodyFraming::kLength && length == 0)) {
    state_ = State::kDone;
  }
}

size_t BodyDecoder::Feed(std::string_view in, std::string& out) {
  if (state_ != State::kIncomplete) {
    return 0;
  }
  if (framing_ == BodyFraming::kUntilClose) {
    out.append(in);
    return in.size();
  }
  if (framing_ == BodyFraming::kLength) {
    const size_t taken = std::min<uint64_t>(remaining_, in.size());
    out.append(in.substr(0, taken));
    remaining_ -= taken;
    state_ = remaining_ == 0 ? State::kDone : State::kIncomplete;
    return taken;
  }
  size_t used = 0;
  while (used < in.size() && state_ == State::kIncomplete) {
    if (part_ == Part::kData) {
      const size_t taken = std::min<uint64_t>(remaining_, in.size() - used);
      out.append(in.substr(used, taken));
      used += taken;
      remaining_ -= taken;
      part_ = remaining_ == 0 ? Part::kDataEnd : Part::kData;
    } else if (FeedLine(in[used++])) {
      OnLine();
    }
  }
  return used;
}

size_t BodyDecoder::MaxDecoded(size_t size) const {
  return framing_ == BodyFraming::kLength
             ? static_cast<size_t>(std::min<uint64_t>(remaining_, size))
             : size;
}

// Adds `c` to the current line; returns true when the line ends with CR LF.
bool BodyDecoder::FeedLine(char c) {
  line_.push_back(c);
  if (line_.size() > kMaxLineBytes) {
    state_ = State::kMalformed;
    return false;
  }
  if (c != '\n') {
    return false;
  }
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
    state_ = State::kMalformed;
    return false;
  }
  line_.resize(line_.size() - 2);
  return true;
}

void BodyDecoder::OnLine() {
  const std::string line = std::move(line_);
  line_.clear();
  if (part_ == Part::kDataEnd) {
    state_ = line.empty() ? State::kIncomplete : State::kMalformed;
    part_ = Part::kSize;
    return;
  }
  if (part_ == Part::kTrailer) {
    trailer_bytes_ += line.size();
    if (line.empty()) {
      state_ = State::kDone;
    } else if (trailer_bytes_ > kMaxTrailerBytes || !ParseField(line)) {
      state_ = State::kMalformed;
    }
    return;
  }
  const std::string_view digits =
      std::string_view{line}.substr(0, line.find(';'));
  uint64_t size = 0;
  const char* end = digits.data() + digits.size();
  const auto [rest, error] = std::from_chars(digits.data(), end, size, 16);
  if (digits.empty() || digits.size() > kMaxChunkDigits ||
      error != std::errc() || rest != end || digits.front() == '-') {
    state_ = State::kMalformed;
    return;
  }
  remaining_ = size;
  part_ = size == 0 ? Part::kTrailer : Part::kData;
}

bool BodyDecoder::OnConnectionClosed() {
  if (state_ == State::kIncomplete && framing_ == BodyFraming::kUntilClose) {
    state_ = State::kDone;
  }
  return state_ == State::kDone;
}

void AppendChunk(std::string& out, std::string_view data) {
  if (data.empty()) {
    return;
  }
  std::array<char, 16> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), data.size(), 16);
  out.append(digits.data(), end);
  out.append("\r\n").append(data).append("\r\n");
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace sequoialb
