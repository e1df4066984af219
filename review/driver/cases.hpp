#ifndef REVIEW_CASES_HPP
#define REVIEW_CASES_HPP

#include "scene.hpp"

namespace review
{

verdict play_wide(scene& play);
verdict play_many_times(scene& play);
verdict play_hopeless(scene& play);
verdict play_gang(scene& play);
verdict play_reserved(scene& play);

} // namespace review

#endif
