#pragma once

#include "rules/changeorigin.h"
#include "rules/rulesdelta.h"
#include "rules/textreader.h"

#include <string>
#include <vector>

namespace pistachiofall::detail {

void writeOrigin(std::string &text, const ChangeOrigin &origin);
ChangeOrigin readOrigin(TextReader &reader);

/// Writes the number of changes and the changes.
void writeDeltas(std::string &text, const std::vector<RulesDelta::Ptr> &deltas);
/// Fails the reader when the versions have gaps.
std::vector<RulesDelta::Ptr> readDeltas(TextReader &reader);

} // namespace pistachiofall::detail
