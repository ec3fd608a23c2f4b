#pragma once

#include <string>

namespace pistachiofall::tests {

/// What is wrong with the cases of a test, one line each, so that a case that fails hides no other.
class ProblemList
{
public:
    void expect(bool holds, const std::string &name, const std::string &got)
    {
        if (!holds)
            m_text += name + ": " + got + "\n";
    }

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace pistachiofall::tests
