#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "base/check.h"

namespace sequoialb {
namespace {

std::string ToHex(const unsigned char* data, size_t size) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    out.push_back(kDigits[data[i] >> 4U]);
    out.push_back(kDigits[data[i] & 0xFU]);
  }
  return out;
}

}  // namespace

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string RandomHex(size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  const int ok = RAND_bytes(buffer.data(), static_cast<int>(bytes));
  SEQ_CHECK(ok == 1, "the OpenSSL random generator failed");
  return ToHex(buffer.data(), buffer.size());
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::vector<size_t> RendezvousOrder(std::string_view key,
                                    const std::vector<std::string>& names) {
  const uint64_t key_hash = Hash64(key);
  std::vector<uint64_t> scores;
  scores.reserve(names.size());
  for (const std::string& name : names) {
    scores.push_back(Hash64(name, key_hash));
  }
  std::vector<size_t> order(names.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&scores](size_t a, size_t b) { return scores[a] > scores[b]; });
  return order;
}

std::string RendezvousOwner(std::string_view key,
                            const std::vector<std::string>& names) {
  const uint64_t key_hash = Hash64(key);
  uint64_t best_score = 0;
  const std::string* best = nullptr;
  for (const std::string& name : names) {
    const uint64_t score = Hash64(name, key_hash);
    if (best == nullptr || score > best_score) {
      best = &name;
      best_score = score;
    }
  }
  return best == nullptr ? std::string() : *best;
}

uint64_t RandomCallNumber() { return Hash64(RandomHex(8)); }

}  // namespace sequoialb
