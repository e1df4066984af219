#ifndef CUMINFOLD_GATEWAY_DISPATCH_REPLY_HPP
#define CUMINFOLD_GATEWAY_DISPATCH_REPLY_HPP

#include "kernel/gateway/gateway_event.hpp"
#include "transport/http_client.hpp"

namespace cuminfold
{

/// What a worker's reply, or the lack of one, means for a dispatch.
dispatch_result judge_worker_reply(http_result const& reply);

/// The same for another gateway. Its refusal is no answer: `not-run` becomes
/// `not_started` and `unknown` becomes `lost`, with its reason.
dispatch_result judge_gateway_reply(http_result const& reply);

} // namespace cuminfold

#endif
