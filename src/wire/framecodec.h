#pragma once

#include "base/result.h"
#include "wire/framefault.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace pistachiofall {

/// Raised when an older instance would misread a message. New fields and new messages do not raise
/// it.
inline constexpr std::uint16_t ProtocolVersion = 1;

/// Each frame starts with the length of the envelope, little-endian.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// The largest envelope, without the header.
inline constexpr std::size_t MaxFrameBytes = std::size_t{1} << 20U;

/// The header and the envelope, with ProtocolVersion set whatever the envelope says. Fails with
/// InvalidArgument when the envelope is larger than MaxFrameBytes.
Result<std::string> encodeFrame(const wire::EnvelopeT &envelope);

/// Checks and decodes an envelope, which is a frame without its header. A body of a type that this
/// version does not know comes out empty (type NONE), because instances of two versions run side by
/// side.
std::variant<wire::EnvelopeT, FrameFault> decodeEnvelope(std::span<const std::uint8_t> bytes);

} // namespace pistachiofall
