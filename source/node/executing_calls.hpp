#ifndef CUMINFOLD_NODE_EXECUTING_CALLS_HPP
#define CUMINFOLD_NODE_EXECUTING_CALLS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace cuminfold
{

/// A call that a node forwarded: the node's incarnation and its number there.
struct forwarded_call_id
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t number_ = 0;

    friend bool operator<(forwarded_call_id const& a,
                          forwarded_call_id const& b)
    {
        return std::make_pair(a.incarnation_, a.number_) <
               std::make_pair(b.incarnation_, b.number_);
    }
};

/// The forwarded calls that an owner has received and not answered yet.
class executing_calls
{
public:
    /// @param exchange of the server that has received the call
    void begin(std::uint64_t exchange, forwarded_call_id const& call)
    {
        by_exchange_[exchange] = call;
        calls_.insert(call);
    }

    /// The call was answered, or its connection was closed.
    void end(std::uint64_t exchange)
    {
        auto const found = by_exchange_.find(exchange);
        if (found != by_exchange_.end())
        {
            calls_.erase(calls_.find(found->second));
            by_exchange_.erase(found);
        }
    }

    bool contains(forwarded_call_id const& call) const
    {
        return calls_.count(call) != 0;
    }

private:
    std::map<std::uint64_t, forwarded_call_id> by_exchange_;
    std::multiset<forwarded_call_id> calls_;
};

} // namespace cuminfold

#endif
