#include "config/sections/sections.hpp"

#include <string>

namespace cuminfold::detail
{

void read_team(section_reader& in, std::string const& name,
               intended_state& state)
{
    team_spec team;
    team.name_ = team_name{name};
    in.require("slots");
    in.read("slots", team.slots_, 0, count_limit);
    in.read("may_borrow", team.may_borrow_);
    state.teams_[team.name_] = team;
}

} // namespace cuminfold::detail
