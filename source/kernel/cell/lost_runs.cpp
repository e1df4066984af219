#include "kernel/cell/lost_runs.hpp"

#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace cuminfold
{

std::string encode(lost_runs const& runs)
{
    std::ostringstream text;
    for (auto const& run : runs)
    {
        text << run.task_.occurrence_ << ' ' << run.task_.step_ << ' '
             << run.task_.index_ << ' ' << run.run_ << ' ' << run.is_counted_
             << ' ' << run.is_suspected_ << ' ' << std::quoted(run.worker_)
             << ' ' << std::quoted(run.vm_.text()) << '\n';
    }
    return text.str();
}

lost_runs decode_lost_runs(std::string const& text)
{
    lost_runs runs;
    std::istringstream rows(text);
    while (rows >> std::ws && !rows.eof())
    {
        lost_run run;
        std::string vm;
        rows >> run.task_.occurrence_ >> run.task_.step_ >> run.task_.index_ >>
            run.run_ >> run.is_counted_ >> run.is_suspected_ >>
            std::quoted(run.worker_) >> std::quoted(vm);
        if (!rows)
        {
            throw std::invalid_argument("not a list of lost runs: " + text);
        }
        run.vm_ = vm_id{vm};
        runs.push_back(std::move(run));
    }
    return runs;
}

} // namespace cuminfold
