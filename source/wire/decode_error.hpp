#ifndef CUMINFOLD_WIRE_DECODE_ERROR_HPP
#define CUMINFOLD_WIRE_DECODE_ERROR_HPP

#include <stdexcept>

namespace cuminfold
{

/// Bytes that are not what they should be; the text names the field.
class decode_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace cuminfold

#endif
