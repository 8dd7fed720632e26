/// \file
/// What is fed with mutated bytes. Each throws fuzz_failure if a promise does not hold.
#pragma once

#include "fuzz/mutator.hpp"

#include <stdexcept>
#include <string_view>

namespace pistachiopost {

/// A promise was broken.
class fuzz_failure : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// Reads a caller's bytes as requests. What is forwarded must be read again as the same
/// one request.
void feed_caller(std::string_view bytes, mutator& choices);

/// Reads a backend server's bytes as an answer that arrives in pieces. The events passed
/// on must be the start of the body, whatever the pieces.
void feed_backend(std::string_view bytes, mutator& choices);

/// Reads an operator's configuration. It is refused with codec_error or usable.
void feed_configuration(std::string_view bytes, mutator& choices);

/// Reads the row of a backend server. It is refused with a reason or usable.
void feed_backend_row(std::string_view bytes, mutator& choices);

/// Reads a peer's datagram. What is taken must survive encoding.
void feed_load_report(std::string_view bytes, mutator& choices);

} // namespace pistachiopost
