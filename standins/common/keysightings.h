#pragma once

#include "common/httpexchange.h"

#include <atomic>
#include <cstdint>
#include <string_view>

namespace pistachiofall::standins {

/// Counts requests in which an endpoint sees a key, which must never happen.
class KeySightings
{
public:
    /// Looks at the target, the headers and the body.
    void inspect(const HttpExchange &exchange);

    std::uint64_t count() const { return m_count; }

private:
    std::atomic<std::uint64_t> m_count{0};
};

/// Whether the text holds something like "pf_KEYID_SECRET", with a secret of at least 8 characters,
/// plain or with an encoded underscore.
bool hasKeyText(std::string_view text);

} // namespace pistachiofall::standins
