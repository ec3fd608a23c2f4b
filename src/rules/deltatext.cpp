#include "rules/deltatext.h"

#include "rules/ruletext.h"

#include <array>

namespace pistachiofall::detail {

namespace {

// Far above what 64 KB of changes can hold.
constexpr std::uint64_t MaxDeltas = 100'000;
// The end of the year 9999, the last that has four digits.
constexpr std::uint64_t MaxTime = 253'402'300'799;

RulesDelta::Ptr readDelta(TextReader &reader)
{
    auto delta = std::make_shared<RulesDelta>();
    delta->version = reader.number("delta");
    delta->origin = readOrigin(reader);
    const auto removed = reader.number("removed");
    const auto added = reader.number("added");
    delta->removed = reader.lines("-", removed);
    delta->added = reader.lines("+", added);
    return delta;
}

} // namespace

void writeOrigin(std::string &text, const ChangeOrigin &origin)
{
    text += "author " + origin.author + "\ntime "
            + std::to_string(origin.time.time_since_epoch().count()) + "\nid " + origin.id + "\n";
}

ChangeOrigin readOrigin(TextReader &reader)
{
    ChangeOrigin origin;
    origin.author = reader.value("author");
    const auto seconds = reader.number("time");
    origin.id = reader.value("id");
    std::array<unsigned char, 16> id{};
    if (!isAuthor(origin.author) || seconds > MaxTime || !parseHex(origin.id, id))
        reader.fail("an author, time or id is malformed");
    else
        origin.time = std::chrono::sys_seconds{std::chrono::seconds{seconds}};
    return origin;
}

void writeDeltas(std::string &text, const std::vector<RulesDelta::Ptr> &deltas)
{
    text += "deltas " + std::to_string(deltas.size()) + "\n";
    for (const auto &delta : deltas) {
        text += "delta " + std::to_string(delta->version) + "\n";
        writeOrigin(text, delta->origin);
        text += "removed " + std::to_string(delta->removed.size()) + "\nadded "
                + std::to_string(delta->added.size()) + "\n";
        for (const std::string &line : delta->removed)
            text += "-" + line + "\n";
        for (const std::string &line : delta->added)
            text += "+" + line + "\n";
    }
}

std::vector<RulesDelta::Ptr> readDeltas(TextReader &reader)
{
    std::vector<RulesDelta::Ptr> deltas;
    const auto count = reader.number("deltas");
    if (count > MaxDeltas)
        reader.fail("too many changes");
    for (std::uint64_t index = 0; index < count && !reader.hasFailed(); ++index) {
        deltas.push_back(readDelta(reader));
        if (index > 0 && deltas[index]->version != deltas[index - 1]->version + 1)
            reader.fail("the versions of the changes have gaps");
    }
    return deltas;
}

} // namespace pistachiofall::detail
