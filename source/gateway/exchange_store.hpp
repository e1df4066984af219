#ifndef CUMINFOLD_GATEWAY_EXCHANGE_STORE_HPP
#define CUMINFOLD_GATEWAY_EXCHANGE_STORE_HPP

#include "kernel/gateway/gateway_event.hpp"
#include "kernel/identifier.hpp"
#include "transport/http_message.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cuminfold
{

/// The parts of a caller's request that are forwarded to a worker or another
/// gateway.
struct request_payload
{
    /// Idempotency key; empty if the request has none.
    std::string key_;
    std::shared_ptr<std::string const> body_;
};

/// Holds the bodies of open requests and of their replies, shared by the caller
/// and worker threads. The total of all bodies is limited in bytes. Any thread
/// may call.
///
/// Closing a request also drops its replies.
class exchange_store
{
public:
    explicit exchange_store(std::size_t byte_limit) : byte_limit_(byte_limit) {}

    /// Stores a request's payload.
    /// @return false if it would exceed the byte limit
    bool open(request_id const& request, request_payload payload);

    /// Returns a request's payload; empty if the request is not open.
    std::optional<request_payload> find(request_id const& request) const;

    /// Stores a complete reply to a dispatch. If the request is closed, drops
    /// the reply and returns true.
    /// @return false if it would exceed the byte limit
    bool keep_reply(request_id const& request, dispatch_number dispatch,
                    http_response reply);

    /// Removes and returns a reply; empty if there is none.
    std::optional<http_response> take_reply(request_id const& request,
                                            dispatch_number dispatch);

    /// Removes a reply, if there is one.
    void drop_reply(request_id const& request, dispatch_number dispatch);

    /// Removes a request and all its replies.
    void close(request_id const& request);

    /// Returns the total size of the stored bodies, in bytes.
    std::size_t bytes() const;

private:
    struct entry
    {
        request_payload payload_;
        std::map<dispatch_number, http_response> replies_;
    };

    /// Adds to the byte count; false if that would exceed the limit. The caller
    /// holds the mutex.
    bool reserve(std::size_t bytes);

    std::size_t byte_limit_;
    mutable std::mutex mutex_;
    std::size_t bytes_ = 0;
    std::map<request_id, entry> entries_;
};

} // namespace cuminfold

#endif
