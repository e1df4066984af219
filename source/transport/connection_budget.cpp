#include "transport/connection_budget.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

/// An idle connection is an ordinary caller's more often than a request that
/// stays incomplete, so its bytes count for less.
constexpr double idle_weight = 0.1;

} // namespace

connection_budget::connection_budget(std::size_t limit_bytes)
    : limit_(limit_bytes)
{
}

void connection_budget::open(connection_account& account)
{
    account.index_ = accounts_.size();
    accounts_.push_back(&account);
}

void connection_budget::close(connection_account& account)
{
    accounts_.back()->index_ = account.index_;
    accounts_[account.index_] = accounts_.back();
    accounts_.pop_back();
}

bool connection_budget::make_room(connection_account const& account,
                                  std::size_t bytes, clock::time_point now)
{
    while (used_ + bytes > limit_)
    {
        connection_account* worst = nullptr;
        double worst_cost = account.use_ == connection_use::request
                                ? 0
                                : account.cost(account.bytes_ + bytes, now);
        for (auto* const each : accounts_)
        {
            bool const can_close = each != &account && each->bytes_ != 0 &&
                                   each->use_ != connection_use::request;
            double const cost = can_close ? each->cost(each->bytes_, now) : 0;
            if (can_close && cost >= worst_cost)
            {
                worst = each;
                worst_cost = cost;
            }
        }
        if (worst == nullptr)
        {
            return false;
        }
        // A copy: closing the connection may destroy the account.
        auto const evict = worst->evict_;
        worst->close();
        evict();
    }
    return true;
}

connection_account::connection_account(
    std::shared_ptr<connection_budget> budget, std::function<void()> evict)
    : budget_(std::move(budget)), evict_(std::move(evict))
{
    if (budget_)
    {
        budget_->open(*this);
    }
}

connection_account::~connection_account()
{
    close();
}

void connection_account::set_use(connection_use use, clock::time_point now)
{
    use_ = use;
    since_ = now;
}

bool connection_account::hold(std::size_t bytes, clock::time_point now)
{
    if (!budget_)
    {
        return true;
    }
    bool const permitted =
        open_ &&
        (bytes <= bytes_ || budget_->make_room(*this, bytes - bytes_, now));
    if (permitted)
    {
        set_bytes(bytes);
    }
    return permitted;
}

void connection_account::hold_regardless(std::size_t bytes,
                                         clock::time_point now)
{
    if (budget_ && open_ && !hold(bytes, now))
    {
        set_bytes(bytes);
    }
}

void connection_account::close()
{
    if (budget_ && open_)
    {
        open_ = false;
        set_bytes(0);
        budget_->close(*this);
    }
}

void connection_account::set_bytes(std::size_t bytes) noexcept
{
    budget_->used_ = budget_->used_ - bytes_ + bytes;
    bytes_ = bytes;
}

double connection_account::cost(std::size_t bytes, clock::time_point now) const
{
    double const seconds = std::chrono::duration<double>(now - since_).count();
    double const weight = use_ == connection_use::idle ? idle_weight : 1;
    return static_cast<double>(bytes) * seconds * weight;
}

} // namespace cuminfold
