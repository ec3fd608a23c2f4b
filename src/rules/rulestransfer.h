#pragma once

#include "base/result.h"
#include "rules/rulessnapshot.h"
#include "rules/rulestoragelimits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// What an instance sends to one that knows the version given: the changes since, when the snapshot
/// still has them and the first part is asked for, otherwise one part (from 0) of the whole set.
/// InvalidArgument for a part that does not exist.
Result<std::string> encodeRulesData(const RulesSnapshot &snapshot, std::uint64_t knownVersion,
                                    std::uint32_t part, const RuleStorageLimits &limits = {});

/// Takes what a peer sends until the rules are complete. Ask a peer for the version of current()
/// and for nextPart(), and pass the answer to accept(), until that returns a snapshot.
class RulesTransfer
{
public:
    explicit RulesTransfer(RulesSnapshot current);

    const RulesSnapshot &current() const { return m_current; }
    std::uint32_t nextPart() const { return m_nextPart; }

    /// The new snapshot, which is the current one when the peer has no newer rules; nothing when a
    /// further part is needed. Conflict when the peer has a lower version. Unavailable when the
    /// peer's rules changed between two parts; then the transfer starts again with part 0.
    /// ProtocolError for data that encodeRulesData did not make.
    Result<std::optional<RulesSnapshot>> accept(std::string_view data);

private:
    struct Part;

    static Result<Part> decodePart(std::string_view text);
    Result<std::optional<RulesSnapshot>> acceptDeltas(std::string_view text);
    Result<std::optional<RulesSnapshot>> acceptPart(Part part);
    void restart();

    RulesSnapshot m_current;
    std::uint32_t m_nextPart = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_parts = 0;
    std::vector<std::string> m_lines;
};

} // namespace pistachiofall
