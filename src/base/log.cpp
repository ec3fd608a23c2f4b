#include "base/log.h"

#include <easylogging++.h>

namespace pistachiofall {

LogField::LogField(std::string_view fieldName, std::string_view fieldValue)
    : name(fieldName)
    , value(fieldValue)
{ }

LogField::LogField(std::string_view fieldName, const char *fieldValue)
    : LogField(fieldName, std::string_view(fieldValue))
{ }

LogField::LogField(std::string_view fieldName, std::int64_t fieldValue)
    : LogField(fieldName, std::string_view(std::to_string(fieldValue)))
{ }

LogField::LogField(std::string_view fieldName, std::uint64_t fieldValue)
    : LogField(fieldName, std::string_view(std::to_string(fieldValue)))
{ }

LogField::LogField(std::string_view fieldName, int fieldValue)
    : LogField(fieldName, static_cast<std::int64_t>(fieldValue))
{ }

void initializeLog()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                              "%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logInfo(std::string_view message, std::initializer_list<LogField> fields)
{
    LOG(INFO) << message << formatFields(fields);
}

void logWarning(std::string_view message, std::initializer_list<LogField> fields)
{
    LOG(WARNING) << message << formatFields(fields);
}

std::string formatFields(std::initializer_list<LogField> fields)
{
    std::string line;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        if (field.value.find_first_of(" \"\n=") == std::string::npos && !field.value.empty()) {
            line += field.value;
            continue;
        }
        line += '"';
        for (const char character : field.value) {
            if (character == '"' || character == '\\')
                line += '\\';
            line += character == '\n' ? ' ' : character;
        }
        line += '"';
    }
    return line;
}

} // namespace pistachiofall
