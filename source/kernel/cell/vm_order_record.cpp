#include "kernel/cell/vm_order_record.hpp"

#include <sstream>

namespace cuminfold
{

namespace
{

constexpr char const* move_word = "move";
constexpr char const* maintain_word = "maintain";
constexpr char const* maintained_word = "maintained";

} // namespace

std::string encode(vm_order_record const& record)
{
    std::ostringstream text;
    if (record.pending_ && record.wave_ == 0)
    {
        text << move_word << '\n';
    }
    else if (record.pending_)
    {
        text << maintain_word << ' ' << record.wave_ << '\n';
    }
    for (auto const wave : record.maintained_)
    {
        text << maintained_word << ' ' << wave << '\n';
    }
    return text.str();
}

vm_order_record decode_vm_order_record(std::string const& text)
{
    vm_order_record record;
    bool known = false;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        std::istringstream words(line);
        std::string word;
        wave_number wave = 0;
        words >> word;
        if (word == move_word)
        {
            record.pending_ = true;
            known = true;
        }
        else if (word == maintain_word && words >> wave)
        {
            record.pending_ = true;
            record.wave_ = wave;
            known = true;
        }
        else if (word == maintained_word && words >> wave)
        {
            record.maintained_.insert(wave);
            known = true;
        }
    }
    if (!known)
    {
        record.pending_ = true;
        record.wave_ = any_wave;
    }
    return record;
}

} // namespace cuminfold
