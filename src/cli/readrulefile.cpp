#include "cli/readrulefile.h"

#include <fstream>
#include <iterator>

namespace pistachiofall {

namespace {

std::string prefixLines(const std::string &path, const std::string &lines)
{
    std::string text = path + ": ";
    for (const char character : lines) {
        text += character;
        if (character == '\n')
            text += path + ": ";
    }
    return text;
}

} // namespace

Result<RuleFile> readRuleFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text;
    if (in)
        text.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    if (!in || in.bad())
        return Error{ErrorCode::NotFound, "rule file '" + path + "' cannot be read"};
    auto file = parseRuleFile(text);
    if (!isOk(file))
        return Error{errorOf(file).code, prefixLines(path, errorOf(file).message)};
    return file;
}

} // namespace pistachiofall
