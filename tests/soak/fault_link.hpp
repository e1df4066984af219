#ifndef CUMINFOLD_TESTS_SOAK_FAULT_LINK_HPP
#define CUMINFOLD_TESTS_SOAK_FAULT_LINK_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace cuminfold
{

/// What a link does with the bytes that it carries.
enum class link_fault
{
    none,
    delay,        ///< bytes arrive later
    silence,      ///< bytes of both ways are held until the fault ends
    hold_calls,   ///< bytes from the calling side are held
    hold_answers, ///< bytes to the calling side are held
    reset         ///< connections are reset, new ones too
};

/// Where and how one link fails.
struct link_state
{
    link_fault fault_ = link_fault::none;
    std::chrono::milliseconds delay_{0};
};

/// A TCP proxy on loopback between one caller's side and one server.
///
/// All members are called on the context's thread, but for `address()`.
class fault_link
{
public:
    explicit fault_link(boost::asio::io_context& context);
    ~fault_link();

    std::string const& address() const
    {
        return address_;
    }
    /// Where connections are led to; none are taken before it is set.
    void set_target(std::string const& address);
    void set_state(link_state state);
    /// The connections that are open now carry nothing any more, while new ones
    /// work.
    /// @param fault which ways: `silence`, `hold_calls` or `hold_answers`
    /// @return how many there are
    std::size_t silence_open(link_fault fault);

private:
    class session;

    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::string target_;
    link_state state_;
    std::set<std::shared_ptr<session>> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cuminfold

#endif
