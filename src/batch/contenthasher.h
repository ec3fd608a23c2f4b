#pragma once

#include "batch/contenthash.h"

#include <memory>
#include <string_view>

namespace pistachiofall {

/// Computes a ContentHash incrementally.
class ContentHasher
{
public:
    ContentHasher();
    ~ContentHasher();
    ContentHasher(const ContentHasher &) = delete;
    ContentHasher &operator=(const ContentHasher &) = delete;

    void add(std::string_view bytes);

    /// Adds a length-prefixed string, so that ("ab", "c") and ("a", "bc") have different hashes.
    void addText(std::string_view text);

    /// Returns the hash of everything added. No more data may be added afterwards.
    ContentHash finish();

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

/// Returns the hash of the bytes.
ContentHash hashOf(std::string_view bytes);

} // namespace pistachiofall
