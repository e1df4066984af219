#ifndef CUMINFOLD_KERNEL_IDENTIFIER_HPP
#define CUMINFOLD_KERNEL_IDENTIFIER_HPP

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace cuminfold
{

/// A name that cannot be mistaken for a name of another kind.
///
/// `Tag` only tells the kinds apart; identifiers compare and hash as their
/// text. An empty text means "no such thing".
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text) : text_(std::move(text)) {}

    std::string const& text() const noexcept
    {
        return text_;
    }

    bool empty() const noexcept
    {
        return text_.empty();
    }

    friend bool operator==(identifier const& a, identifier const& b)
    {
        return a.text_ == b.text_;
    }
    friend bool operator!=(identifier const& a, identifier const& b)
    {
        return a.text_ != b.text_;
    }
    friend bool operator<(identifier const& a, identifier const& b)
    {
        return a.text_ < b.text_;
    }
    friend std::ostream& operator<<(std::ostream& out, identifier const& id)
    {
        return out << id.text_;
    }

private:
    std::string text_;
};

/// A worker VM, by the platform's name for it.
using vm_id = identifier<struct vm_id_tag>;
/// An entry VM's process (gateway or controller), by its settings' name.
using node_id = identifier<struct node_id_tag>;
using pool_name = identifier<struct pool_name_tag>;
using service_name = identifier<struct service_name_tag>;
using team_name = identifier<struct team_name_tag>;
using data_centre_name = identifier<struct data_centre_name_tag>;
using rack_name = identifier<struct rack_name_tag>;
using wave_name = identifier<struct wave_name_tag>;
using job_id = identifier<struct job_id_tag>;
/// One caller's request, unique over the fleet.
using request_id = identifier<struct request_id_tag>;
/// The caller's `Idempotency-Key`, qualified by its service.
using claim_key = identifier<struct claim_key_tag>;
/// A stream of the platform's log.
using stream_name = identifier<struct stream_name_tag>;
/// A file of the operators' folder.
using file_name = identifier<struct file_name_tag>;

/// Position of an entry in one stream of the platform's log. The first is 0.
using log_offset = std::uint64_t;

/// The offset that stands before every entry of a stream.
inline constexpr log_offset no_offset = ~log_offset{0};

/// One life of a process: its name and a number that no other life of that
/// name uses (drawn at start from the wall clock and a random number).
struct incarnation
{
    node_id node_;
    std::uint64_t number_ = 0;

    friend bool operator==(incarnation const& a, incarnation const& b)
    {
        return a.number_ == b.number_ && a.node_ == b.node_;
    }
    friend bool operator!=(incarnation const& a, incarnation const& b)
    {
        return !(a == b);
    }
    friend bool operator<(incarnation const& a, incarnation const& b)
    {
        return std::tie(a.node_, a.number_) < std::tie(b.node_, b.number_);
    }
};

} // namespace cuminfold

template <class Tag>
struct std::hash<cuminfold::identifier<Tag>>
{
    std::size_t operator()(cuminfold::identifier<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};

template <>
struct std::hash<cuminfold::incarnation>
{
    std::size_t operator()(cuminfold::incarnation const& id) const noexcept
    {
        return std::hash<cuminfold::node_id>{}(id.node_) ^
               (id.number_ * 0x9e3779b97f4a7c15ULL);
    }
};

#endif
