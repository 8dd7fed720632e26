/// \file
/// Fuzz targets. Each throws fuzz_failure if a checked property does not hold.
#pragma once

#include "fuzz/mutator.hpp"

#include <stdexcept>
#include <string_view>

namespace pistachiopost {

/// Reports a property that does not hold for an input.
class fuzz_failure : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// Parses the bytes as requests of a caller. Each forwarded request must parse as exactly
/// that one request.
void fuzz_caller(std::string_view bytes, mutator& choices);

/// Parses the bytes as a chunked body with its extensions and trailers, received in
/// random parts. What is buffered, held and accepted must stay within the limits.
void fuzz_framing(std::string_view bytes, mutator& choices);

/// Parses the bytes as the answer of a backend server, received in random chunks. The
/// forwarded events must be a prefix of the body, however it is split.
void fuzz_backend(std::string_view bytes, mutator& choices);

/// Parses an operator's configuration, which is usable or rejected with codec_error.
void fuzz_configuration(std::string_view bytes, mutator& choices);

/// Parses the row of a backend server, which is usable or rejected with a reason.
void fuzz_backend_row(std::string_view bytes, mutator& choices);

/// Parses a datagram of a peer. An accepted report must survive an encoding round trip.
void fuzz_load_report(std::string_view bytes, mutator& choices);

/// Parses the request and the answer of a relay. An accepted one must survive an encoding
/// round trip.
void fuzz_relay(std::string_view bytes, mutator& choices);

/// Parses the row of a gateway, which is usable or rejected with codec_error.
void fuzz_gateway_row(std::string_view bytes, mutator& choices);

} // namespace pistachiopost
