#pragma once

#include <string>
#include <vector>

namespace pistachiofall::tests {

/// What an answer is to say if it were sound.
struct AnswerParts
{
    /// The fields that identify the answer, each with its line end.
    std::string fields;
    std::string body;
};

/// An answer that breaks the protocol. None of its bytes may reach a caller.
struct BrokenAnswer
{
    std::string name;
    std::string bytes;
    /// Whether the endpoint closes the connection after it.
    bool closesAfterwards = false;
    /// Whether a reader can see that it is broken only when the body has come.
    bool isBrokenAfterItsBody = false;
};

/// The same answer, broken in each of many ways.
std::vector<BrokenAnswer> brokenAnswers(const AnswerParts &parts);

/// The answer as it should be.
std::string soundAnswer(const AnswerParts &parts);

/// A part of a body in the chunked coding.
std::string chunkOf(const std::string &data);

} // namespace pistachiofall::tests
