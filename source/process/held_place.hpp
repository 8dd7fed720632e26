/// \file
/// Owns a place at a backend server for the time of one attempt.
#pragma once

#include "process/dispatcher.hpp"

#include <utility>

namespace pistachiopost {

/// A place at a backend server, given back at the end of the attempt.
class held_place
{
public:
    held_place(dispatcher& work, placement place) : work_(work), place_(std::move(place))
    {
    }
    held_place(const held_place&) = delete;
    held_place& operator=(const held_place&) = delete;
    ~held_place()
    {
        reading_done();
        work_.release(place_, steady::now());
    }

    /// Says that the first event was seen. Further calls do nothing.
    void reading_done()
    {
        if (!std::exchange(reading_done_, true))
        {
            work_.reading_done(place_, steady::now());
        }
    }

    [[nodiscard]] const placement& get() const { return place_; }

private:
    dispatcher& work_;
    placement place_;
    bool reading_done_ = false;
};

} // namespace pistachiopost
