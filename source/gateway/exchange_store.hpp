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

/// What of a caller's request is sent on to a worker.
struct request_payload
{
    std::string key_;
    std::shared_ptr<std::string const> body_;
};

/// The bodies of open requests and of the replies to them, between the thread
/// of the callers' HTTP and the thread of the workers'. Bounded in bytes; any
/// thread may call.
///
/// A reply lives no longer than its request.
class exchange_store
{
public:
    explicit exchange_store(std::size_t byte_limit) : byte_limit_(byte_limit) {}

    /// Keeps a request's payload.
    /// @return false if there is no room
    bool open(request_id const& request, request_payload payload);

    /// A request's payload; empty once the request is closed.
    std::optional<request_payload> find(request_id const& request) const;

    /// Keeps a whole reply to a dispatch; dropped if its request is closed.
    /// @return false if there is no room
    bool keep_reply(request_id const& request, dispatch_number dispatch,
                    http_response reply);

    /// Takes a reply out; empty if it is not there.
    std::optional<http_response> take_reply(request_id const& request,
                                            dispatch_number dispatch);

    /// Drops a reply that is not wanted.
    void drop_reply(request_id const& request, dispatch_number dispatch);

    /// Forgets a request and all replies to it.
    void close(request_id const& request);

    /// Bytes of all bodies kept.
    std::size_t bytes() const;

private:
    struct entry
    {
        request_payload payload_;
        std::map<dispatch_number, http_response> replies_;
    };

    bool reserve(std::size_t bytes);

    std::size_t byte_limit_;
    mutable std::mutex mutex_;
    std::size_t bytes_ = 0;
    std::map<request_id, entry> entries_;
};

} // namespace cuminfold

#endif
