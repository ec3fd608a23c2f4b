#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachiofall {

/// One field of a log line. Never holds a key.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view fieldValue);
    LogField(std::string_view fieldName, const char *fieldValue);
    LogField(std::string_view fieldName, std::int64_t fieldValue);
    LogField(std::string_view fieldName, std::uint64_t fieldValue);
    LogField(std::string_view fieldName, int fieldValue);

    std::string name;
    std::string value;
};

/// Sets up the log: one line a message on standard error, "time level message name=value ...".
/// Call once at the start of main.
void initializeLog();

/// Logs a change of state. Repeated events are counted in metrics, not logged.
void logInfo(std::string_view message, std::initializer_list<LogField> fields = {});

/// Logs a change of state that an operator may have to act on.
void logWarning(std::string_view message, std::initializer_list<LogField> fields = {});

/// Formats the fields as " name=value", with quotes where the value has spaces or quotes.
std::string formatFields(std::initializer_list<LogField> fields);

} // namespace pistachiofall
