#include "transport/http_head_check.hpp"

#include "property.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;

namespace
{

constexpr char const* good_head = "POST /v1 HTTP/1.1\r\nHost: x\r\n"
                                  "Content-Length: 3\r\nA: b\r\n\r\n";

} // namespace

TEST_CASE("the end of a head is found once, at its empty line")
{
    std::string const head = good_head;
    for (std::size_t length = 0; length < head.size(); ++length)
    {
        CHECK_FALSE(find_head_end(head.substr(0, length)));
    }
    CHECK(find_head_end(head + "body\r\n\r\n") == head.size());
    CHECK(check_head(head).empty());
}

TEST_CASE("any bytes are judged, and a head that passes is plain")
{
    check_property("a passed head has only CR LF line ends, unfolded",
                   [](std::string const& bytes, std::string const& value)
                   {
                       std::string const text =
                           "GET / HTTP/1.1\r\nA: " + value + "\r\n" + bytes +
                           "\r\n\r\n";
                       auto const end = find_head_end(text);
                       RC_ASSERT(end.has_value());
                       std::string const head = text.substr(0, *end);
                       if (!check_head(head).empty())
                       {
                           return;
                       }
                       for (std::size_t i = 0; i < head.size(); ++i)
                       {
                           RC_ASSERT(head[i] != '\n' || head[i - 1] == '\r');
                           RC_ASSERT(head[i] != '\0');
                       }
                       RC_ASSERT(head.find("\r\n ") == std::string::npos);
                       RC_ASSERT(head.find("\r\n\t") == std::string::npos);
                   });
}

TEST_CASE("a head with one changed byte is judged without harm")
{
    check_property("mutated heads",
                   [](std::uint16_t place, char byte)
                   {
                       std::string head = good_head;
                       head[place % head.size()] = byte;
                       auto const end = find_head_end(head);
                       if (end)
                       {
                           RC_ASSERT(*end <= head.size());
                           check_head(std::string_view(head).substr(0, *end));
                       }
                   });
}
