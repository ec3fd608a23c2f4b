#include "wire/framedecoder.h"

#include <utility>

namespace pistachiofall {

namespace {

// Instances hold hundreds of connections; one large frame must not keep its memory on each.
constexpr std::size_t KeptCapacity = std::size_t{64} << 10U;

} // namespace

void FrameDecoder::append(std::span<const std::uint8_t> bytes)
{
    if (m_begin > 0) {
        m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
        m_begin = 0;
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

FrameDecoder::Next FrameDecoder::next()
{
    if (m_fault)
        return *m_fault;
    const auto waiting = std::span<const std::uint8_t>(m_buffer).subspan(m_begin);
    if (waiting.size() < FrameHeaderBytes)
        return Incomplete{};
    const std::size_t size = flatbuffers::ReadScalar<std::uint32_t>(waiting.data());
    if (size > MaxFrameBytes)
        return fail(FrameFault::Oversized);
    if (waiting.size() < FrameHeaderBytes + size)
        return Incomplete{};
    auto decoded = decodeEnvelope(waiting.subspan(FrameHeaderBytes, size));
    if (const auto *fault = std::get_if<FrameFault>(&decoded))
        return fail(*fault);
    discard(FrameHeaderBytes + size);
    return Frame{std::get<wire::EnvelopeT>(std::move(decoded)), FrameHeaderBytes + size};
}

FrameDecoder::Next FrameDecoder::fail(FrameFault fault)
{
    m_fault = fault;
    return fault;
}

void FrameDecoder::discard(std::size_t size)
{
    m_begin += size;
    if (m_begin < m_buffer.size())
        return;
    m_begin = 0;
    if (m_buffer.capacity() > KeptCapacity)
        std::vector<std::uint8_t>().swap(m_buffer);
    else
        m_buffer.clear();
}

} // namespace pistachiofall
