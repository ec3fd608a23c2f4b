#include "system/brokenanswercases.h"

namespace pistachiofall::tests {

namespace {

constexpr const char *Ok = "HTTP/1.1 200 OK\r\n";

std::string lengthField(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

// The answer with a status line, and further fields of which the last ones frame the body.
std::string answer(const std::string &line, const std::string &fields, const AnswerParts &parts)
{
    return line + parts.fields + fields + "\r\n" + parts.body;
}

std::string chunkedAnswer(const std::string &fields, const AnswerParts &parts)
{
    return answer(Ok, fields, {parts.fields, chunkOf(parts.body) + "0\r\n\r\n"});
}

void addStatuses(std::vector<BrokenAnswer> &all, const AnswerParts &parts)
{
    const std::string length = lengthField(parts.body);
    for (const char *status : {"000", "099", "600", "999"})
        all.push_back({std::string("status ") + status,
                       answer(std::string("HTTP/1.1 ") + status + " X\r\n", length, parts)});
    all.push_back({"status 000 before a sound answer",
                   "HTTP/1.1 000 X\r\n" + parts.fields + "\r\n" + soundAnswer(parts)});
}

void addFields(std::vector<BrokenAnswer> &all, const AnswerParts &parts)
{
    const std::string length = lengthField(parts.body);
    all.push_back({"blank in a name", answer(Ok, "Some Name: 1\r\n" + length, parts)});
    all.push_back({"blank behind a name", answer(Ok, "Name : 1\r\n" + length, parts)});
    all.push_back({"blank before a name", answer(Ok, " Name: 1\r\n" + length, parts)});
    all.push_back({"control byte in a name", answer(Ok, "Na\x01me: 1\r\n" + length, parts)});
    all.push_back({"blank before the length", answer(Ok, " " + length, parts), true});
    all.push_back({"blank before the coding",
                   answer(Ok, " Transfer-Encoding: chunked\r\n",
                          {parts.fields, chunkOf(parts.body) + "0\r\n\r\n"}),
                   true});
    all.push_back({"control byte in a value", answer(Ok, "Name: a\x01z\r\n" + length, parts)});
}

void addCodings(std::vector<BrokenAnswer> &all, const AnswerParts &parts)
{
    const std::string length = lengthField(parts.body);
    for (const char *coding : {"gzip, chunked", "chunked, gzip", "gzip"})
        all.push_back({std::string("transfer coding ") + coding,
                       chunkedAnswer(std::string("Transfer-Encoding: ") + coding + "\r\n", parts),
                       true});
    all.push_back({"content coding", answer(Ok, "Content-Encoding: gzip\r\n" + length, parts)});
}

void addEnds(std::vector<BrokenAnswer> &all, const AnswerParts &parts)
{
    const std::string length = lengthField(parts.body);
    all.push_back(
            {"length and chunks", chunkedAnswer(length + "Transfer-Encoding: chunked\r\n", parts)});
    all.push_back({"two lengths", answer(Ok, length + "Content-Length: 1\r\n", parts)});
    all.push_back(
            {"length with a sign",
             answer(Ok, "Content-Length: +" + std::to_string(parts.body.size()) + "\r\n", parts)});
    all.push_back({"bad size of a chunk",
                   answer(Ok, "Transfer-Encoding: chunked\r\n",
                          {parts.fields, "x\r\n" + parts.body + "\r\n0\r\n\r\n"})});
    all.push_back({"body that is cut", answer(Ok, "Content-Length: 1000\r\n", parts), true, true});
}

} // namespace

std::string chunkOf(const std::string &data)
{
    static constexpr const char *Digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = data.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), Digits[rest % 16]);
    return size + "\r\n" + data + "\r\n";
}

std::string soundAnswer(const AnswerParts &parts)
{
    return answer(Ok, lengthField(parts.body), parts);
}

std::vector<BrokenAnswer> brokenAnswers(const AnswerParts &parts)
{
    std::vector<BrokenAnswer> all;
    addStatuses(all, parts);
    addFields(all, parts);
    addCodings(all, parts);
    addEnds(all, parts);
    return all;
}

} // namespace pistachiofall::tests
