#include "wire/cell_codec.hpp"

#include "wire/cell_fields.hpp"

namespace cuminfold
{

namespace
{

template <class T>
std::string to_bytes(T const& value)
{
    return detail::write_cbor(detail::encode(value));
}

template <class T>
T from_bytes(std::string const& bytes)
{
    T value;
    detail::decode(detail::parse_cbor(bytes), value);
    return value;
}

} // namespace

std::string encode_job(job_definition const& job)
{
    return to_bytes(job);
}

job_definition decode_job(std::string const& bytes)
{
    return from_bytes<job_definition>(bytes);
}

std::string encode_progress(job_progress const& progress)
{
    return to_bytes(progress);
}

job_progress decode_progress(std::string const& bytes)
{
    return from_bytes<job_progress>(bytes);
}

std::string encode_owner(owner_record const& owner)
{
    return to_bytes(owner);
}

owner_record decode_owner(std::string const& bytes)
{
    return from_bytes<owner_record>(bytes);
}

std::string encode_node(node_record const& node)
{
    return to_bytes(node);
}

node_record decode_node(std::string const& bytes)
{
    return from_bytes<node_record>(bytes);
}

std::string encode_call(client_call const& call)
{
    return to_bytes(call);
}

client_call decode_call(std::string const& bytes)
{
    return from_bytes<client_call>(bytes);
}

std::string encode_answer(client_answer const& answer)
{
    return to_bytes(answer);
}

client_answer decode_answer(std::string const& bytes)
{
    return from_bytes<client_answer>(bytes);
}

std::string encode_ping(peer_ping const& ping)
{
    return to_bytes(ping);
}

peer_ping decode_ping(std::string const& bytes)
{
    return from_bytes<peer_ping>(bytes);
}

std::string encode_forwarded_calls(forwarded_calls const& calls)
{
    return to_bytes(calls);
}

forwarded_calls decode_forwarded_calls(std::string const& bytes)
{
    return from_bytes<forwarded_calls>(bytes);
}

} // namespace cuminfold
