#include "batch/bytereader.h"

namespace pistachiofall::batch::detail {

std::uint64_t ByteReader::number(std::uint64_t max)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64 && !m_rest.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(m_rest.front());
        m_rest.remove_prefix(1);
        const std::uint64_t bits = byte & 0x7fU;
        if (shift == 63 && bits > 1)
            break;
        value |= bits << shift;
        if ((byte & 0x80U) != 0)
            continue;
        if (value <= max)
            return value;
        break;
    }
    fail();
    return 0;
}

std::string ByteReader::text(std::size_t maxLength)
{
    return std::string(raw(number(maxLength)));
}

std::string_view ByteReader::raw(std::size_t length)
{
    if (m_hasFailed || length > m_rest.size()) {
        fail();
        return {};
    }
    const std::string_view value = m_rest.substr(0, length);
    m_rest.remove_prefix(length);
    return value;
}

void ByteReader::fail()
{
    m_hasFailed = true;
    m_rest = {};
}

} // namespace pistachiofall::batch::detail
