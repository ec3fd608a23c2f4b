#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall::batch::detail {

/// Decodes data written by ByteWriter. After the first failure every read fails and returns zero or
/// an empty value, so a decoder only needs to check hasFailed() before it uses the values.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : m_rest(bytes)
    { }

    /// Reads a variable-length integer. Fails if it is greater than max.
    std::uint64_t number(std::uint64_t max);

    /// Reads a length-prefixed string. Fails if it is longer than maxLength.
    std::string text(std::size_t maxLength);

    std::string_view raw(std::size_t length);

    bool hasFailed() const { return m_hasFailed; }

    /// Returns whether all bytes were consumed and no read failed.
    bool isComplete() const { return !m_hasFailed && m_rest.empty(); }

private:
    void fail();

    std::string_view m_rest;
    bool m_hasFailed = false;
};

} // namespace pistachiofall::batch::detail
