#include "core/scheduling/headroom.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "base/constants/services.h"

namespace sorrelwood {

std::vector<Headroom> HeadroomForecast::ForecastNeeds() const {
  std::vector<Headroom> needs;
  for (const auto& [job_class, profile] : jobs_->class_profiles())
    if (profile.spec.IsService())
      needs.push_back({job_class, profile, SlotsFor(profile)});
  return needs;
}

double HeadroomForecast::ShortestBootS() const {
  double shortest = kNoLimit;
  for (const auto& [name, machine] : machines_->all())
    if (machine->type) shortest = std::min(shortest, machine->type->boot_s);
  return shortest == kNoLimit ? 0 : shortest;
}

double HeadroomForecast::SlotsFor(const ClassProfile& profile) const {
  const std::deque<double>& arrivals = profile.arrivals;
  if (arrivals.empty()) return 0;
  const auto [first, last] =
      std::minmax_element(arrivals.begin(), arrivals.end());
  if (context_->wall_time - *last > kHeadroomRetentionS) return 0;
  const auto recent =
      std::count_if(arrivals.begin(), arrivals.end(), [&](double arrived_at) {
        return context_->wall_time - arrived_at < kArrivalWindowS;
      });
  // The window starts at the oldest known arrival if that is within it, so that
  // the rate of a new class isn't underestimated.
  const double span_s = std::clamp(context_->wall_time - *first,
                                   kMinArrivalSpanS, kArrivalWindowS);
  const double jobs_per_boot =
      static_cast<double>(recent) * ShortestBootS() / span_s;
  const double slots =
      std::ceil(profile.tasks * (kHeadroomExtraJobs + jobs_per_boot));
  return std::min(slots, admission_->SlotsUnderQuota(profile.spec));
}

}  // namespace sorrelwood
