#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace pistachiofall::batch::detail {

/// Appends variable-length integers and length-prefixed strings, to be decoded by ByteReader.
class ByteWriter
{
public:
    void number(std::uint64_t value)
    {
        while (value >= 0x80U) {
            m_bytes += static_cast<char>(value | 0x80U);
            value >>= 7U;
        }
        m_bytes += static_cast<char>(value);
    }

    void text(std::string_view value)
    {
        number(value.size());
        m_bytes += value;
    }

    /// Appends bytes without a length prefix; the reader has to know the length.
    void raw(std::string_view value) { m_bytes += value; }

    const std::string &bytes() const { return m_bytes; }
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

} // namespace pistachiofall::batch::detail
