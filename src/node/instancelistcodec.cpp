#include "node/instancelistcodec.h"

#include "base/stablehash.h"
#include "rules/compression.h"

#include <array>
#include <utility>

namespace pistachiofall {

namespace {

// 410 instances take about 40 KB.
constexpr std::size_t MaxTextBytes = 4U << 20U;
constexpr std::size_t FieldCount = 5;
constexpr std::string_view Leaving = "leaving";

std::string textOf(const InstanceList &list)
{
    std::string text;
    for (const ListedInstance &instance : list.instances) {
        text += instance.name + '\t' + instance.failureDomain + '\t' + instance.peerAddress + '\t'
                + instance.adminAddress + '\t';
        if (instance.leaving)
            text += Leaving;
        text += '\n';
    }
    return text;
}

Result<ListedInstance> parseLine(std::string_view line)
{
    std::array<std::string, FieldCount> fields;
    std::size_t count = 0;
    for (std::string_view rest = line; count < FieldCount; ++count) {
        const std::size_t end = rest.find('\t');
        fields[count] = rest.substr(0, end);
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    if (count != FieldCount - 1 || fields[0].empty())
        return Error{ErrorCode::ProtocolError,
                     "the line '" + std::string(line)
                             + "' of an instance list does not have a name and four more fields"};
    return ListedInstance{fields[0], fields[1], fields[2], fields[3], fields[4] == Leaving};
}

} // namespace

std::uint64_t contentHash(const InstanceList &list)
{
    return stableHash(textOf(list));
}

std::string encodeInstanceList(const InstanceList &list)
{
    return detail::compress(textOf(list));
}

Result<InstanceList> decodeInstanceList(std::uint64_t version, std::string_view data)
{
    const auto text = detail::decompress(data, MaxTextBytes);
    if (!isOk(text))
        return errorOf(text);
    InstanceList list;
    list.version = version;
    std::string_view rest = valueOf(text);
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        auto instance = parseLine(rest.substr(0, end));
        if (!isOk(instance))
            return errorOf(instance);
        list.instances.push_back(valueOf(std::move(instance)));
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    return list;
}

} // namespace pistachiofall
