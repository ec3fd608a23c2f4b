#include "wire/framecodec.h"

#include <algorithm>
#include <vector>

namespace pistachiofall {

namespace {

// FlatBuffers reads 64-bit fields in place.
constexpr std::size_t EnvelopeAlignment = 8;

// The smallest table with a string takes more than 16 bytes of a frame.
constexpr flatbuffers::uoffset_t MaxTables = MaxFrameBytes / 16;

std::size_t stringBytes(const flatbuffers::String *text)
{
    return text == nullptr ? 0 : text->size();
}

// The bytes of all strings in vectors of the body once they are unpacked. The verifier accepts many
// references to one string, so a frame of 1 MB could otherwise unpack to many gigabytes.
std::size_t unpackedStringBytes(const wire::Envelope &envelope)
{
    std::size_t total = 0;
    if (const auto *survey = envelope.body_as_SlotSurvey();
        survey != nullptr && survey->endpoints() != nullptr) {
        for (const flatbuffers::String *endpoint : *survey->endpoints())
            total += stringBytes(endpoint);
    }
    if (const auto *holdings = envelope.body_as_SlotHoldings();
        holdings != nullptr && holdings->holdings() != nullptr) {
        for (const wire::SlotHolding *holding : *holdings->holdings())
            total += stringBytes(holding->endpoint());
    }
    return total;
}

bool isAligned(const flatbuffers::Vector<std::uint64_t> *values)
{
    return values == nullptr
            || reinterpret_cast<std::uintptr_t>(values->data()) % EnvelopeAlignment == 0;
}

// The verifier checks the alignment of a vector's length only, not of its elements.
bool areVectorsAligned(const wire::Envelope &envelope)
{
    const auto *renew = envelope.body_as_SlotRenew();
    const auto *revoke = envelope.body_as_SlotRevoke();
    const auto *ack = envelope.body_as_SlotAck();
    return (renew == nullptr || isAligned(renew->slotIds()))
            && (revoke == nullptr || isAligned(revoke->slotIds()))
            && (ack == nullptr || isAligned(ack->unknownSlotIds()));
}

std::variant<wire::EnvelopeT, FrameFault> decodeAligned(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier::Options options;
    options.max_tables = MaxTables;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), options);
    if (!wire::VerifyEnvelopeBuffer(verifier))
        return FrameFault::Malformed;
    const wire::Envelope &envelope = *wire::GetEnvelope(bytes.data());
    if (envelope.protocolVersion() != ProtocolVersion)
        return FrameFault::WrongVersion;
    const bool isKnown = envelope.body_type() <= wire::Body::MAX;
    if (isKnown && envelope.body_type() != wire::Body::NONE && envelope.body() == nullptr)
        return FrameFault::Malformed;
    if (!areVectorsAligned(envelope) || unpackedStringBytes(envelope) > bytes.size())
        return FrameFault::Malformed;
    wire::EnvelopeT result;
    envelope.UnPackTo(&result);
    if (!isKnown)
        result.body.Reset();
    return result;
}

} // namespace

Result<std::string> encodeFrame(const wire::EnvelopeT &envelope)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = envelope.body.Pack(builder);
    builder.Finish(wire::CreateEnvelope(builder, ProtocolVersion, envelope.correlationId,
                                        envelope.timeLeftMs, envelope.isReply, envelope.body.type,
                                        body));
    const std::size_t size = builder.GetSize();
    if (size > MaxFrameBytes) {
        return Error{ErrorCode::InvalidArgument,
                     "a message of " + std::to_string(size) + " bytes; at most "
                             + std::to_string(MaxFrameBytes) + " fit a frame"};
    }
    std::string frame(FrameHeaderBytes, '\0');
    frame.reserve(FrameHeaderBytes + size);
    flatbuffers::WriteScalar(frame.data(), static_cast<std::uint32_t>(size));
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), size);
    return frame;
}

std::variant<wire::EnvelopeT, FrameFault> decodeEnvelope(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > MaxFrameBytes)
        return FrameFault::Oversized;
    if (bytes.empty())
        return FrameFault::Malformed;
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % EnvelopeAlignment == 0)
        return decodeAligned(bytes);
    // Memory from the allocator is aligned for 64-bit values.
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    return decodeAligned(copy);
}

} // namespace pistachiofall
