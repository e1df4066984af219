#ifndef CUMINFOLD_GATEWAY_DISPATCH_REPLY_HPP
#define CUMINFOLD_GATEWAY_DISPATCH_REPLY_HPP

#include "kernel/gateway/gateway_event.hpp"
#include "transport/http_client.hpp"

namespace cuminfold
{

/// Classifies the end of a dispatch to a worker, with or without a reply.
dispatch_result classify_worker_reply(http_result const& reply);

/// Classifies the end of a dispatch to another gateway. A refusal does not
/// count as an answer: `not-run` becomes `not_started`, and `unknown` becomes
/// `lost`; either keeps the reason.
dispatch_result classify_gateway_reply(http_result const& reply);

} // namespace cuminfold

#endif
