#include "wire/cbor_check.hpp"

#include <boost/locale/utf.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace cuminfold
{

namespace
{

/// The upper three bits of an item's first byte.
enum class major_type : std::uint8_t
{
    unsigned_number,
    negative_number,
    byte_string,
    text,
    list,
    map,
    tag,
    simple_value
};

constexpr unsigned major_shift = 5;
constexpr std::uint8_t argument_mask = 0x1f;
/// Arguments from here to `last_sized_argument` are in the following 1, 2, 4 or
/// 8 bytes.
constexpr std::uint8_t first_sized_argument = 24;
constexpr std::uint8_t last_sized_argument = 27;
constexpr std::uint8_t indefinite_argument = 31;
constexpr unsigned bits_per_byte = 8;

struct item_head
{
    major_type type_ = major_type::unsigned_number;
    /// A length or a number of items; absent if a break ends the item.
    std::optional<std::uint64_t> argument_;
};

/// An open list or map.
struct open_item
{
    /// The items that are still to come; absent if a break ends them.
    std::optional<std::uint64_t> remaining_;
};

class checker
{
public:
    checker(std::string const& bytes, text_check check)
        : at_(bytes.data()), end_(bytes.data() + bytes.size()),
          text_check_(check)
    {
    }

    char const* check()
    {
        do
        {
            auto const head = read_head();
            if (fault_ != nullptr)
            {
                return fault_;
            }
            enter(head);
            close_full_items();
        } while (fault_ == nullptr && (depth_ > 0 || is_tagged_));
        return fault_;
    }

private:
    std::size_t left() const
    {
        return static_cast<std::size_t>(end_ - at_);
    }

    item_head read_head()
    {
        item_head head;
        if (at_ == end_)
        {
            fault_ = "it ends early";
            return head;
        }
        auto const first = static_cast<std::uint8_t>(*at_++);
        head.type_ = static_cast<major_type>(first >> major_shift);
        std::uint8_t const argument = first & argument_mask;
        if (argument < first_sized_argument)
        {
            head.argument_ = argument;
        }
        else if (argument <= last_sized_argument)
        {
            std::size_t const size = 1U << (argument - first_sized_argument);
            if (left() < size)
            {
                fault_ = "it ends early";
                return head;
            }
            std::uint64_t value = 0;
            for (std::size_t i = 0; i < size; ++i)
            {
                value =
                    value << bits_per_byte | static_cast<std::uint8_t>(*at_++);
            }
            head.argument_ = value;
        }
        else if (argument != indefinite_argument)
        {
            fault_ = "an item has no valid length";
        }
        return head;
    }

    void enter(item_head const& head)
    {
        is_tagged_ = false;
        switch (head.type_)
        {
        case major_type::unsigned_number:
        case major_type::negative_number:
            count_item();
            return;
        case major_type::byte_string:
        case major_type::text:
            read_string(head);
            count_item();
            return;
        case major_type::list:
        case major_type::map:
            open(head);
            return;
        case major_type::tag:
            is_tagged_ = true;
            return;
        case major_type::simple_value:
            head.argument_ ? count_item() : close();
            return;
        }
    }

    /// Reads the contents of a string, or its parts until a break.
    void read_string(item_head const& head)
    {
        if (head.argument_)
        {
            read_part(head.type_, *head.argument_);
            return;
        }
        while (fault_ == nullptr)
        {
            auto const part = read_head();
            bool const is_break =
                part.type_ == major_type::simple_value && !part.argument_;
            if (fault_ != nullptr || is_break)
            {
                return;
            }
            if (part.type_ != head.type_ || !part.argument_)
            {
                fault_ = "a part of a string is no string";
                return;
            }
            read_part(part.type_, *part.argument_);
        }
    }

    void read_part(major_type type, std::uint64_t size)
    {
        if (left() < size)
        {
            fault_ = "it ends early";
            return;
        }
        auto const* const begin = at_;
        at_ += size;
        if (type == major_type::text && text_check_ == text_check::utf8 &&
            !is_utf8(begin, at_))
        {
            fault_ = "a text is not UTF-8";
        }
    }

    void open(item_head const& head)
    {
        count_item();
        if (depth_ == open_.size())
        {
            fault_ = "it is nested too deeply";
            return;
        }
        auto remaining = head.argument_;
        if (remaining && head.type_ == major_type::map)
        {
            // A map of more pairs than bytes ends early in any case.
            *remaining = *remaining > left() ? *remaining : 2 * *remaining;
        }
        open_[depth_++].remaining_ = remaining;
    }

    /// An item of the innermost list or map begins.
    void count_item()
    {
        if (depth_ > 0 && open_[depth_ - 1].remaining_)
        {
            --*open_[depth_ - 1].remaining_;
        }
    }

    void close()
    {
        if (depth_ == 0 || open_[depth_ - 1].remaining_)
        {
            fault_ = "a break ends nothing";
            return;
        }
        --depth_;
    }

    void close_full_items()
    {
        while (depth_ > 0 && open_[depth_ - 1].remaining_ == 0U)
        {
            --depth_;
        }
    }

    char const* at_;
    char const* end_;
    text_check text_check_;
    char const* fault_ = nullptr;
    std::array<open_item, max_cbor_depth> open_{};
    std::size_t depth_ = 0;
    /// The last item was a tag, which the item that it tags follows.
    bool is_tagged_ = false;
};

} // namespace

char const* find_cbor_fault(std::string const& bytes, text_check check)
{
    return checker(bytes, check).check();
}

bool is_utf8(char const* begin, char const* end)
{
    using traits = boost::locale::utf::utf_traits<char>;
    while (begin != end)
    {
        auto const code = traits::decode(begin, end);
        if (code == boost::locale::utf::illegal ||
            code == boost::locale::utf::incomplete)
        {
            return false;
        }
    }
    return true;
}

} // namespace cuminfold
