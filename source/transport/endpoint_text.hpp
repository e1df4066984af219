#ifndef CUMINFOLD_TRANSPORT_ENDPOINT_TEXT_HPP
#define CUMINFOLD_TRANSPORT_ENDPOINT_TEXT_HPP

#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <stdexcept>
#include <string>

namespace cuminfold
{

/// Reads `IP:PORT`; names are not resolved.
/// @throws std::invalid_argument which names the text
inline boost::asio::ip::tcp::endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    boost::system::error_code error;
    std::uint16_t port = 0;
    bool good = colon != std::string::npos;
    boost::asio::ip::address address;
    if (good)
    {
        address = boost::asio::ip::make_address(text.substr(0, colon), error);
        char const* const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
        good = !error && parsed.ec == std::errc{} && parsed.ptr == end;
    }
    if (!good)
    {
        throw std::invalid_argument("'" + text +
                                    "' is not an address; write IP:PORT");
    }
    return {address, port};
}

inline std::string format_endpoint(boost::asio::ip::tcp::endpoint const& at)
{
    return at.address().to_string() + ":" + std::to_string(at.port());
}

} // namespace cuminfold

#endif
