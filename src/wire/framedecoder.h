#pragma once

#include "wire/framecodec.h"
#include "wire/framefault.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace pistachiofall {

/// Splits the bytes of a connection into frames and decodes them.
class FrameDecoder
{
public:
    /// More bytes are needed.
    struct Incomplete
    { };

    struct Frame
    {
        wire::EnvelopeT envelope;
        /// With the header.
        std::size_t size = 0;
    };

    using Next = std::variant<Incomplete, Frame, FrameFault>;

    void append(std::span<const std::uint8_t> bytes);

    /// The next frame. A fault is final: all later calls return it again.
    Next next();

    /// Whether a frame has begun and its end is missing.
    bool isInsideFrame() const { return m_begin < m_buffer.size(); }

private:
    Next fail(FrameFault fault);
    void discard(std::size_t size);

    std::vector<std::uint8_t> m_buffer;
    std::size_t m_begin = 0;
    std::optional<FrameFault> m_fault;
};

} // namespace pistachiofall
