#ifndef CUMINFOLD_WIRE_CELL_CODEC_HPP
#define CUMINFOLD_WIRE_CELL_CODEC_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/owner_record.hpp"

#include <string>

namespace cuminfold
{

/// CBOR of what a cell stores and of what nodes say to each other. Decoding
/// throws `decode_error`.
/// @{
std::string encode_job(job_definition const& job);
job_definition decode_job(std::string const& bytes);

std::string encode_progress(job_progress const& progress);
job_progress decode_progress(std::string const& bytes);

std::string encode_owner(owner_record const& owner);
owner_record decode_owner(std::string const& bytes);

std::string encode_node(node_record const& node);
node_record decode_node(std::string const& bytes);

std::string encode_call(client_call const& call);
client_call decode_call(std::string const& bytes);

std::string encode_answer(client_answer const& answer);
client_answer decode_answer(std::string const& bytes);

std::string encode_ping(peer_ping const& ping);
peer_ping decode_ping(std::string const& bytes);
std::string encode_forwarded_calls(forwarded_calls const& calls);
forwarded_calls decode_forwarded_calls(std::string const& bytes);
/// @}

} // namespace cuminfold

#endif
