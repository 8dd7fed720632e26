#include "connection/base64.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <iterator>

namespace pistachiopost {

std::string encode_base64(std::string_view bytes)
{
    // One more byte for the null that EVP_EncodeBlock() appends.
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto* in = reinterpret_cast<const unsigned char*>(bytes.data());
    auto* buf = reinterpret_cast<unsigned char*>(out.data());
    const int n = EVP_EncodeBlock(buf, in, static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::string decode_base64(std::string_view text)
{
    std::string out(text.size() / 4 * 3 + 3, '\0');
    const auto* in = reinterpret_cast<const unsigned char*>(text.data());
    auto* buf = reinterpret_cast<unsigned char*>(out.data());
    const int n = EVP_DecodeBlock(buf, in, static_cast<int>(text.size()));
    const auto padding = std::count(
        text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)), text.end(), '=');
    out.resize(static_cast<std::size_t>(std::max<std::ptrdiff_t>(n - padding, 0)));
    return out;
}

} // namespace pistachiopost
