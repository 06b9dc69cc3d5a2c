// Hash functions shared by all components: a fast one for placement and a
// cryptographic one for keys and stored content. Also generates random
// identifiers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoialb {

// Returns a 64-bit placement hash (XXH3). Not for secrets.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns `bytes` random bytes from a cryptographic generator as hexadecimal
// digits.
std::string RandomHex(size_t bytes);

// Returns a random number from which a process numbers its calls. An answer
// that was meant for the process before it then matches no call.
uint64_t RandomCallNumber();

// Returns true when both strings are equal, in time that depends only on their
// lengths, so that a comparison of secrets leaks nothing through timing.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns the indices of `names` in descending order of their rendezvous
// (highest random weight) score for `key`. The first is the owner of the key;
// when a name is removed, only the keys that it owned get a new owner.
std::vector<size_t> RendezvousOrder(std::string_view key,
                                    const std::vector<std::string>& names);

// Returns the owner of `key` among `names`, or an empty string if `names` is
// empty.
std::string RendezvousOwner(std::string_view key,
                            const std::vector<std::string>& names);

}  // namespace sequoialb
