#include "metrics/labels.h"

namespace pistachiofall {

std::string formatLabels(const Labels &labels)
{
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const auto &[name, value] : labels) {
        if (text.size() > 1)
            text += ',';
        text += name + "=\"";
        for (const char character : value) {
            if (character == '"' || character == '\\')
                text += '\\';
            text += character == '\n' ? ' ' : character;
        }
        text += '"';
    }
    return text + '}';
}

} // namespace pistachiofall
