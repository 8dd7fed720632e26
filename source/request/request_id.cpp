#include "request/request_id.hpp"

#include <fmt/format.h>

#include <random>

namespace pistachiopost {

request_id_source::request_id_source(std::string_view vm)
{
    std::random_device entropy;
    boot_ = fmt::format("{}-{:08x}{:08x}", vm, entropy(), entropy());
}

std::string request_id_source::next()
{
    return fmt::format("{}-{}", boot_, ++count_);
}

} // namespace pistachiopost
