#ifndef CUMINFOLD_TRANSPORT_HTTP_MESSAGE_HPP
#define CUMINFOLD_TRANSPORT_HTTP_MESSAGE_HPP

#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// Header fields; names in lower case.
using http_fields = std::map<std::string, std::string>;

/// A request that was read whole.
struct http_request
{
    std::string method_;
    /// Path without the query.
    std::string path_;
    std::string query_;
    http_fields fields_;
    std::string body_;

    /// A field's value; empty if it is absent.
    std::string field(std::string const& name) const
    {
        auto const found = fields_.find(name);
        return found == fields_.end() ? std::string() : found->second;
    }

    /// The path's parts between slashes.
    std::vector<std::string> parts() const
    {
        std::vector<std::string> result;
        std::string part;
        for (char const c : path_ + "/")
        {
            if (c != '/')
            {
                part += c;
            }
            else if (!part.empty())
            {
                result.push_back(std::move(part));
                part.clear();
            }
        }
        return result;
    }
};

/// A response.
struct http_response
{
    unsigned status_ = 200;
    http_fields fields_;
    std::string body_;
    /// Bytes that a server sends as they are, in place of all the above; for
    /// stand-ins that answer wrongly.
    std::string raw_;
    bool raw_close_ = false;
};

/// A response with a body of that type.
inline http_response make_response(unsigned status, std::string content_type,
                                   std::string body)
{
    http_response response;
    response.status_ = status;
    response.fields_["content-type"] = std::move(content_type);
    response.body_ = std::move(body);
    return response;
}

} // namespace cuminfold

#endif
