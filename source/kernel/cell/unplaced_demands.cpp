#include "kernel/cell/unplaced_demands.hpp"

#include <algorithm>

namespace cuminfold
{

unplaced_demands::unplaced_demands(std::vector<worker_state*> const& candidates)
    : candidates_(candidates)
{
}

void unplaced_demands::add_task(job_step const& shape)
{
    demand added{shape, 1};
    added.shape_.per_worker_ = 0;
    demands_.push_back(std::move(added));
}

void unplaced_demands::add_gang(job_step const& shape)
{
    demands_.push_back({shape, shape.tasks_});
}

bool unplaced_demands::has_label(std::string const& label)
{
    if (!labels_)
    {
        labels_.emplace();
        for (auto const* const worker : candidates_)
        {
            labels_->insert(worker->entry_.labels_.begin(),
                            worker->entry_.labels_.end());
        }
    }
    return labels_->count(label) != 0;
}

bool unplaced_demands::covers_task(job_step const& shape)
{
    return covers(shape, 1, 0);
}

bool unplaced_demands::covers_gang(job_step const& shape)
{
    return covers(shape, shape.tasks_, shape.per_worker_);
}

bool unplaced_demands::covers(job_step const& shape, std::uint32_t tasks,
                              std::uint32_t per_worker)
{
    if (!shape.label_.empty() && !has_label(shape.label_))
    {
        return true;
    }
    return std::any_of(
        demands_.begin(), demands_.end(),
        [&](demand const& each)
        {
            auto const& other = each.shape_;
            bool const spreads_as_much =
                other.per_worker_ == 0 ||
                (per_worker != 0 && per_worker <= other.per_worker_);
            return each.tasks_ <= tasks && spreads_as_much &&
                   (other.label_.empty() || other.label_ == shape.label_) &&
                   other.best_effort_ == shape.best_effort_ &&
                   other.long_running_ == shape.long_running_ &&
                   (other.tail_target_ > duration{0}) ==
                       (shape.tail_target_ > duration{0}) &&
                   other.each_.fits(shape.each_);
        });
}

} // namespace cuminfold
