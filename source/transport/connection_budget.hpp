#ifndef CUMINFOLD_TRANSPORT_CONNECTION_BUDGET_HPP
#define CUMINFOLD_TRANSPORT_CONNECTION_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cuminfold
{

/// What a connection holds its bytes for.
enum class connection_use : std::uint8_t
{
    idle,               ///< no request
    incomplete_request, ///< a request that is being read
    request,            ///< a request that is being executed
    unread_response     ///< a response, or the rest of a rejected request
};

class connection_account;

/// Limits the bytes that all connections of one or more servers hold. If a
/// connection needs more than is left, those that hold the most bytes for the
/// longest time are closed first; never one whose request is being executed.
/// For use on one thread.
class connection_budget
{
public:
    using clock = std::chrono::steady_clock;

    explicit connection_budget(std::size_t limit_bytes);

    std::size_t limit() const noexcept
    {
        return limit_;
    }

    std::size_t used() const noexcept
    {
        return used_;
    }

private:
    friend class connection_account;

    void open(connection_account& account);
    void close(connection_account& account);
    /// Closes connections until `bytes` more are left; false if `account`
    /// itself is the one to be closed next, or no other can be.
    bool make_room(connection_account const& account, std::size_t bytes,
                   clock::time_point now);

    std::size_t limit_;
    std::size_t used_ = 0;
    std::vector<connection_account*> accounts_;
};

/// The bytes that one connection holds. Without a budget it permits all.
class connection_account
{
public:
    using clock = connection_budget::clock;

    /// @param evict closes the connection, which must close this account
    connection_account(std::shared_ptr<connection_budget> budget,
                       std::function<void()> evict);
    ~connection_account();

    connection_account(connection_account const&) = delete;
    connection_account& operator=(connection_account const&) = delete;

    /// Starts another use; its age counts from `now`.
    void set_use(connection_use use, clock::time_point now);
    /// Changes what the connection holds. False, without a change, if the
    /// budget does not permit it.
    bool hold(std::size_t bytes, clock::time_point now);
    /// As `hold()`, for bytes that exist already: may exceed the budget.
    void hold_regardless(std::size_t bytes, clock::time_point now);
    /// Gives all bytes back; the account permits nothing from now on.
    void close();

    connection_use use() const noexcept
    {
        return use_;
    }

    std::size_t bytes() const noexcept
    {
        return bytes_;
    }

private:
    friend class connection_budget;

    void set_bytes(std::size_t bytes) noexcept;
    /// What the connection has cost so far: bytes times seconds.
    double cost(std::size_t bytes, clock::time_point now) const;

    std::shared_ptr<connection_budget> budget_;
    std::function<void()> evict_;
    connection_use use_ = connection_use::idle;
    clock::time_point since_{};
    std::size_t bytes_ = 0;
    /// Position in the budget's list.
    std::size_t index_ = 0;
    bool open_ = true;
};

} // namespace cuminfold

#endif
