#include "core/autoscaling/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void Autoscaler::UpdateCatalog(const std::vector<MachineType>& types) {
  // Entries stay where they are: machines point to them.
  for (const MachineType& type : types) types_[type.name] = type;
  for (auto& [name, machine] : machines_->all())
    if (!machine->type) machine->type = FindType(machine->type_name);
}

const MachineType* Autoscaler::FindType(const std::string& name) const {
  auto it = types_.find(name);
  return it == types_.end() ? nullptr : &it->second;
}

void Autoscaler::Load(uint64_t term,
                      const std::vector<ProvisioningRecord>& rents) {
  term_ = term;
  next_rent_ = 0;
  for (const ProvisioningRecord& record : rents) {
    OpenRent rent;
    rent.record = record;
    rent.recorded = true;
    rent.began = context_->now;
    for (const std::string& name : record.machines) {
      if (machines_->Find(name)) continue;  // has a record of its own
      Machine* machine = machines_->Add(name);
      machine->type_name = record.type;
      machine->type = FindType(record.type);
      machine->zone = record.zone;
      machine->spot = record.spot;
      machine->lifecycle.identity_confirmed = true;
      machine->lifecycle.rented_at = context_->now;
      rent.unsettled.insert(name);
    }
    rents_[record.name] = std::move(rent);
  }
  double guaranteed = 0;
  for (const Team& team : settings_->teams) guaranteed += team.cpus;
  base_most_ = base_target_ = load_ =
      guaranteed * policy_.baseline_initial_share;
}

void Autoscaler::Clear() {
  ++generation_;
  rents_.clear();
  returning_.clear();
  refused_until_.clear();
  return_in_flight_ = false;
  listing_ = inventory_known_ = false;
  list_pages_ = 1;
  next_list_ = 0;
  held_up_at_ = 0;
}

bool Autoscaler::TakeCall() {
  const double rate = settings_->cloud_requests_per_s * kCloudRateShare;
  calls_ = std::min(rate, calls_ + (context_->now - calls_at_) * rate);
  calls_at_ = context_->now;
  if (calls_ < 1) return false;
  calls_ -= 1;
  return true;
}

void Autoscaler::Tick(bool may_dispatch, double dispatch_deadline) {
  launch_until_ = dispatch_deadline;
  // Machines are idle for want of work only while work may start: preconditions
  // against returning those that what is held up is for.
  if (!may_dispatch || placement_->unreconciled() > 0)
    held_up_at_ = context_->now;
  // Guards against a leader that is cut off, and perhaps replaced, returning
  // machines: what it asks may be carried out late, on the next leader's work.
  if (!may_dispatch || types_.empty()) return;
  SendReturns();
  for (auto& [name, rent] : rents_)
    if (rent.recorded && !rent.record.answered && !rent.calling &&
        context_->now >= rent.next_call && TakeCall())
      CallRent(name);
  if (!listing_ && context_->now >= next_list_ && TakeCall()) ReadList();
  if (context_->now >= next_plan_) {
    next_plan_ = context_->now + 1;
    ChooseBase();
    ChooseHeadroomMachines();
    ChooseSurplus();
    ReturnIdle();
    Plan();
  }
}

// --- Returning
// -------------------------------------------------------------------

void Autoscaler::Release(Machine* machine, ReleaseReason reason) {
  if (machine->lifecycle.terminating) return;
  machine->lifecycle.terminating = true;
  returning_.insert(machine->name);
  context_->Info("releasing machine", {{"machine", machine->name},
                                       {"reason", ReleaseReasonText(reason)}});
}

void Autoscaler::SendReturns() {
  if (returning_.empty() || return_in_flight_ || !TakeCall()) return;
  std::vector<std::string> names;
  for (const std::string& name : returning_) {
    if (names.size() >= kMaxPerRelease) break;
    names.push_back(name);
  }
  return_in_flight_ = true;
  context_->Release(
      names, launch_until_,
      [this, names, generation = generation_](const CloudResult& result) {
        if (generation != generation_) return;
        return_in_flight_ = false;
        if (result.outcome != Outcome::kOk) return;  // sent again
        for (const std::string& name : names) {
          returning_.erase(name);
          Machine* machine = machines_->Find(name);
          if (!machine) continue;
          if (machine->lifecycle.recorded || machine->lifecycle.recording)
            writer_->Remove(keys::Machine(name));
          if (on_gone) on_gone(machine);
          machines_->Remove(name);
          OnMachineRecorded(name);
        }
      });
}

void Autoscaler::ReturnIdle() {
  const BootPeers came_up = CameUp();
  for (auto& [name, machine] : machines_->all()) {
    Machine* m = machine.get();
    if (m->lifecycle.terminating || !m->type) continue;
    if (!m->lifecycle.ever_reported) {
      if (GivenUp(*m, came_up)) Release(m, ReleaseReason::kBootTimeout);
      continue;
    }
    if (!m->attempts.empty() || !m->unrecorded_completions.empty() ||
        !m->lifecycle.token_acknowledged || m->HasReservations()) {
      m->lifecycle.idle_since = 0;
      continue;
    }
    if (m->health.quarantined) {
      if (context_->now >= m->health.suspect_until)
        Release(m, ReleaseReason::kFaulty);
      continue;
    }
    if (m->lifecycle.preemption_deadline > 0) {
      Release(m, ReleaseReason::kPreempted);
      continue;
    }
    if (m->lifecycle.idle_since == 0) m->lifecycle.idle_since = context_->now;
    if (!m->role.baseline && !m->role.for_services &&
        context_->now - std::max(m->lifecycle.idle_since, held_up_at_) >
            policy_.idle_release_delay_s)
      Release(m, ReleaseReason::kIdle);
  }
}

// --- The list
// ----------------------------------------------------------------------

double Autoscaler::ListIntervalS() const {
  return std::max(kListEveryS, static_cast<double>(list_pages_) /
                                   (settings_->cloud_requests_per_s *
                                    kCloudRateShare * kListShare));
}

void Autoscaler::ReadList() {
  listing_ = true;
  next_list_ = context_->now + ListIntervalS();
  const double sent = context_->now;
  const double page_pause_s =
      1 / (settings_->cloud_requests_per_s * kCloudRateShare);
  context_->ListMachines(page_pause_s, [this, sent, generation = generation_](
                                           const CloudResult& result) {
    if (generation != generation_) return;
    listing_ = false;
    // Each page was a call.
    const size_t further_pages = result.listed.size() / kMachinePage;
    calls_ -= static_cast<double>(further_pages);
    list_pages_ = further_pages + 1;
    if (result.outcome == Outcome::kOk) LearnList(result.listed, sent);
  });
}

void Autoscaler::LearnList(const std::vector<ListedMachine>& listed,
                           double sent) {
  inventory_known_ = true;
  std::set<std::string> present;
  for (const ListedMachine& item : listed) {
    present.insert(item.name);
    if (machines_->IsGone(item.name)) continue;  // the list lags
    Machine* machine = machines_->Find(item.name);
    if (!machine || !machine->lifecycle.identity_confirmed) {
      // A rental that was carried out late: used like any other machine.
      machine = machines_->Add(item.name);
      machine->type_name = item.type;
      machine->type = FindType(item.type);
      machine->zone = item.zone;
      machine->spot = item.spot;
      machine->lifecycle.rented_at = context_->now - item.age_s;
    }
    // One that an earlier leader rented: since when, only the list tells.
    if (!machine->lifecycle.ever_reported)
      machine->lifecycle.rented_at =
          std::min(machine->lifecycle.rented_at, context_->now - item.age_s);
    machine->lifecycle.listed = machine->lifecycle.identity_confirmed = true;
    machine->lifecycle.unlisted_since = 0;
    if (machine->address.empty()) machine->address = item.address;
    if (item.status == MachineStatus::kFailed)
      Release(machine, ReleaseReason::kFailedInCloud);
  }
  // One that was listed and no longer is has been taken. Returning it is the
  // proof; a list alone is none.
  const double lag = 2 * settings_->cloud_list_lag_s + ListIntervalS();
  for (auto& [name, machine] : machines_->all()) {
    if (present.count(name) || machine->lifecycle.terminating) continue;
    // One that an earlier leader recorded was rented before we were elected: a
    // list so much later lacks it only if it is gone, and the removal of its
    // record was lost. Guards against a takeover that is held up by the records
    // of machines that no longer exist, however many.
    if (machine->lifecycle.from_earlier_term && !machine->lifecycle.listed &&
        sent > machine->lifecycle.rented_at + 2 * settings_->cloud_list_lag_s +
                   kListMarginS &&
        context_->now - machine->contact.last_contact_at >
            kSilentHeartbeats * settings_->heartbeat_interval_s) {
      Release(machine.get(), ReleaseReason::kMissingAtTakeover);
      continue;
    }
    if (!machine->lifecycle.listed) continue;
    if (machine->lifecycle.unlisted_since == 0)
      machine->lifecycle.unlisted_since = context_->now;
    if (context_->now - machine->lifecycle.unlisted_since > lag &&
        context_->now - machine->contact.last_contact_at >
            kSilentHeartbeats * settings_->heartbeat_interval_s)
      Release(machine.get(), ReleaseReason::kLeftInventory);
  }
}

// --- Renting
// -----------------------------------------------------------------------

std::vector<Autoscaler::Offer> Autoscaler::Offers() const {
  std::vector<Offer> offers;
  for (const auto& [name, type] : types_)
    for (const std::string& zone : type.zones)
      for (const bool spot : {true, false})
        if (!spot || policy_.use_spot)
          offers.push_back(
              {&type, zone, spot, spot ? type.spot_price : type.price});
  return offers;
}

bool Autoscaler::Refused(const Offer& offer) const {
  auto refused = refused_until_.find(offer.Key());
  return refused != refused_until_.end() && context_->now < refused->second;
}

bool Autoscaler::JobAllows(const Job& job, const MachineType& type,
                           const std::string& zone, bool spot) const {
  const JobSpec& spec = job.spec();
  if (spec.one_zone && !job.progress.attempts_in_zone.empty() &&
      job.progress.attempts_in_zone.begin()->first != zone)
    return false;
  if (!Placement::AllowsLocation(spec, type, zone, spot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus &&
         spec.memory_gb <= type.memory_gb;
}

// What a task takes of a machine, its scarcest share counted as cores.
double Autoscaler::Cores(const JobSpec& spec, const MachineType& type) const {
  double share = spec.cpus / type.cpus;
  if (type.memory_gb > 0)
    share = std::max(share, spec.memory_gb / type.memory_gb);
  if (type.gpus > 0) share = std::max(share, spec.gpus / type.gpus);
  return share * type.cpus;
}

double Autoscaler::CoreSeconds(const JobSpec& spec, const MachineType& type,
                               double drain_s) const {
  return Cores(spec, type) * std::min(jobs_->Estimate(spec), drain_s);
}

std::map<std::string, double> Autoscaler::TeamLeft() const {
  std::map<std::string, double> left;
  for (const Team& team : settings_->teams)
    left[team.name] = team.cpus_max - jobs_->UsageOf(team.name).cpus;
  return left;
}

double Autoscaler::MayStartTask(
    const Job& job, std::map<std::string, double>* team_left) const {
  if (job.progress.pending.empty() || job.finishing ||
      context_->now < job.failures.retry_at)
    return 0;
  double& left = (*team_left)[job.spec().team];
  double count = job.RunnableTasks(context_->now) -
                 static_cast<double>(job.speculation.waiting_since.size());
  if (job.spec().cpus > 0)
    count = std::min(count, std::floor(left / job.spec().cpus + 1e-6));
  count = std::max(0.0, count);
  left -= count * job.spec().cpus;
  return count;
}

bool Autoscaler::InPlan(const Machine& machine) {
  return machine.type && machine.lifecycle.identity_confirmed &&
         !machine.lifecycle.terminating && !machine.health.quarantined &&
         !machine.contact.unreachable &&
         machine.lifecycle.preemption_deadline == 0;
}

double Autoscaler::Coming(const Machine& machine) const {
  if (machine.lifecycle.ever_reported) return 1;
  const double boots = (context_->now - machine.lifecycle.rented_at) /
                       std::max(1.0, machine.type->boot_s);
  return std::clamp((kBootLate - boots) / (kBootLate - kBootUsual), 0.0, 1.0);
}

Autoscaler::BootPeers Autoscaler::CameUp() const {
  BootPeers came_up;
  for (const auto& [name, machine] : machines_->all())
    if (machine->lifecycle.came_up_at > 0)
      came_up[machine->type].push_back(machine->lifecycle.rented_at);
  for (auto& [type, rented_at] : came_up)
    std::sort(rented_at.begin(), rented_at.end());
  return came_up;
}

bool Autoscaler::GivenUp(const Machine& machine,
                         const BootPeers& came_up) const {
  const double age = context_->now - machine.lifecycle.rented_at;
  const auto over = [&](double boots) {
    return age > std::max(kBootPatienceMinS, machine.type->boot_s * boots);
  };
  if (!over(kBootPatience)) return false;
  // While all are late none is given up for being late, or all that was paid
  // would be lost.
  const auto of_type = came_up.find(machine.type);
  if (of_type != came_up.end()) {
    const std::vector<double>& rented_at = of_type->second;
    const auto first_peer = std::lower_bound(rented_at.begin(), rented_at.end(),
                                             machine.lifecycle.rented_at);
    if (static_cast<size_t>(rented_at.end() - first_peer) >= kBootPeers)
      return true;
  }
  return over(kBootPatienceMost);
}

// What is up, booting and asked for, less what is placed there.
std::vector<Autoscaler::Room> Autoscaler::Rooms(double drain_s) const {
  std::vector<Room> rooms;
  for (const auto& [name, machine] : machines_->all()) {
    if (!InPlan(*machine)) continue;
    const double cpus = machine->type->cpus * Coming(*machine);
    Room room{machine->type, machine->zone, machine->spot, cpus,
              cpus * drain_s};
    for (const auto& [key, attempt] : machine->attempts) {
      const Job* job = jobs_->Find(key.job);
      if (!job) continue;
      const double left =
          jobs_->Estimate(job->spec()) -
          (attempt.running_since > 0 ? context_->now - attempt.running_since
                                     : 0);
      room.core_seconds -= Cores(job->spec(), *machine->type) *
                           std::clamp(left, kMinEstimateS, drain_s);
    }
    rooms.push_back(room);
  }
  for (const auto& [name, rent] : rents_) {
    if (rent.record.answered) continue;
    const MachineType* type = FindType(rent.record.type);
    for (int i = 0; type && i < rent.record.count; ++i)
      rooms.push_back({type, rent.record.zone, rent.record.spot, type->cpus,
                       type->cpus * drain_s});
  }
  return rooms;
}

const Autoscaler::Offer* Autoscaler::Cheapest(
    const Job& job, double count, bool dear, const std::vector<Offer>& offers,
    const std::map<std::string, int>& wanted,
    const std::set<std::string>& full_zones) const {
  const JobSpec& spec = job.spec();
  const auto price = [&](const Offer& offer) {
    return offer.price * Cores(spec, *offer.type) / offer.type->cpus;
  };
  double cheapest = 0;
  for (const Offer& offer : offers)
    if (JobAllows(job, *offer.type, offer.zone, offer.spot) &&
        (cheapest == 0 || price(offer) < cheapest))
      cheapest = price(offer);
  const Offer* best = nullptr;
  std::pair<double, int> best_cost;  // then the zone of which least is wanted
  for (const Offer& offer : offers) {
    if (Refused(offer) || full_zones.count(offer.zone) ||
        !JobAllows(job, *offer.type, offer.zone, offer.spot) ||
        (!dear && price(offer) > cheapest * kDearRatio))
      continue;
    const double fit = std::max(
        1.0,
        std::floor(offer.type->cpus * policy_.backlog_limit_s /
                   CoreSeconds(spec, *offer.type, policy_.backlog_limit_s)));
    const auto also = wanted.find(offer.Key());
    const std::pair<double, int> cost{offer.price / std::min(fit, count),
                                      also == wanted.end() ? 0 : also->second};
    if (best && cost >= best_cost) continue;
    best = &offer;
    best_cost = cost;
  }
  return best;
}

double Autoscaler::ZoneLeft(const Job& job, const std::string& zone,
                            const std::map<std::string, double>& planned) {
  if (!job.spec().spread) return kNoLimit;
  const uint32_t most = (job.spec().tasks + 1) / 2;
  double left = most;
  if (auto it = job.progress.attempts_in_zone.find(zone);
      it != job.progress.attempts_in_zone.end())
    left -= it->second;
  if (auto it = planned.find(zone); it != planned.end()) left -= it->second;
  return std::max(0.0, left);
}

void Autoscaler::PlanJob(const Job& job, double count, std::vector<Room>* rooms,
                         std::map<std::string, int>* wanted) {
  const JobSpec& spec = job.spec();
  std::map<std::string, double> planned;  // tasks, by zone
  const auto take = [&](Room* room, double fit) {
    const double each = CoreSeconds(spec, *room->type, policy_.backlog_limit_s);
    room->core_seconds -= fit * each;
    planned[room->zone] += fit;
    count -= fit;
  };
  for (Room& room : *rooms) {
    if (count < 1) return;
    if (!JobAllows(job, *room.type, room.zone, room.spot)) continue;
    const double each = CoreSeconds(spec, *room.type, policy_.backlog_limit_s);
    const double fit = std::min({count, std::floor(room.core_seconds / each),
                                 ZoneLeft(job, room.zone, planned)});
    if (fit >= 1) take(&room, fit);
  }
  const std::vector<Offer> offers = Offers();
  while (count >= 1) {
    std::set<std::string> full_zones;
    if (spec.spread)
      for (const Offer& offer : offers)
        if (ZoneLeft(job, offer.zone, planned) < 1)
          full_zones.insert(offer.zone);
    // A service is rented for at any price: it runs for long.
    const Offer* best = Cheapest(job, count, /*dear=*/spec.IsService(), offers,
                                 *wanted, full_zones);
    if (!best) return;
    const double each = CoreSeconds(spec, *best->type, policy_.backlog_limit_s);
    Room room{best->type, best->zone, best->spot, best->type->cpus,
              best->type->cpus * policy_.backlog_limit_s};
    const double fit =
        std::min({count, std::max(1.0, std::floor(room.core_seconds / each)),
                  ZoneLeft(job, room.zone, planned)});
    take(&room, fit);
    rooms->push_back(room);
    ++(*wanted)[best->Key()];
  }
}

void Autoscaler::PlanCheap(std::map<std::string, int>* wanted) {
  std::vector<Room> rooms = Rooms(policy_.backlog_limit_s);
  std::map<std::string, double> team_left = TeamLeft();
  for (Job* job : jobs_->queue()) {
    const double count = MayStartTask(*job, &team_left);
    if (count >= 1) PlanJob(*job, count, &rooms, wanted);
  }
}

void Autoscaler::PlanDear(std::map<std::string, int>* wanted) {
  const std::vector<Offer> offers = Offers();
  double cores = 0, work = 0, boot_s = 0;
  for (const auto& [name, type] : types_)
    boot_s = std::max(boot_s, type.boot_s);
  for (const Room& room : Rooms(policy_.premium_backlog_limit_s)) {
    cores += room.cpus;
    work += room.cpus * policy_.premium_backlog_limit_s - room.core_seconds;
  }
  for (const Offer& offer : offers)
    if (auto it = wanted->find(offer.Key()); it != wanted->end())
      cores += it->second * offer.type->cpus;
  std::map<std::string, double> team_left;  // core-seconds, by the team's limit
  for (Job* job : jobs_->queue()) {
    if (job->progress.pending.empty() || job->finishing || job->failing() ||
        job->spec().IsService() || context_->now < job->failures.retry_at)
      continue;
    const JobSpec& spec = job->spec();
    // An aim that is past, or that comes before a machine could be up and do
    // the work, is no reason to pay more: the job has as long as one without an
    // aim.
    double slack = jobs_->Slack(*job, settings_->objectives, context_->wall,
                                policy_.premium_backlog_limit_s);
    if (slack < kDearBoots * boot_s) slack = policy_.premium_backlog_limit_s;
    const double count = job->progress.pending.size();
    const double each = std::min(jobs_->Estimate(spec), slack) * spec.cpus;
    double limit = 0;
    for (const Team& team : settings_->teams)
      if (team.name == spec.team) limit = team.cpus_max * slack;
    double& used = team_left[spec.team];
    const double mine = std::min(count * each, std::max(0.0, limit - used));
    used += mine;
    work += mine;
    double short_of = work / (slack * kDearSlack) - cores;
    double most = mine / slack;
    while (short_of > 0 && most > 0) {
      const Offer* best = Cheapest(*job, count, /*dear=*/true, offers, *wanted);
      if (!best) break;
      ++(*wanted)[best->Key()];
      cores += best->type->cpus;
      short_of -= best->type->cpus;
      most -= best->type->cpus;
    }
  }
}

bool Autoscaler::HoldsReplicas(const Machine& machine) {
  return std::any_of(
      machine.attempts.begin(), machine.attempts.end(), [](const auto& item) {
        return item.second.job_active && item.second.record->spec.IsService();
      });
}

std::vector<Placement::Headroom> Autoscaler::HeadroomNeeds() const {
  std::vector<Placement::Headroom> needs = placement_->HeadroomNeeds();
  // While there is no work at all nothing is kept for what may come.
  const bool unseen =
      !jobs_->all().empty() &&
      std::any_of(settings_->objectives.begin(), settings_->objectives.end(),
                  [&](const Objective& objective) {
                    return objective.kind == "wait" &&
                           objective.within_s <= kImmediateStartWithinS &&
                           !jobs_->ProfileOf(objective.job_class);
                  });
  const MachineType* smallest = nullptr;
  for (const auto& [name, type] : types_)
    if (!smallest || type.price < smallest->price) smallest = &type;
  if (!unseen || !smallest) return needs;
  Placement::Headroom need;
  need.slots = kUnseenClassHeadroomMachines;
  need.usual.spec.shape = JobShape::kService;
  need.usual.spec.priority = Priority::kProduction;
  need.usual.spec.cpus = smallest->cpus;
  need.usual.spec.spread = true;
  needs.push_back(need);
  return needs;
}

// First those that hold replicas, then the cheapest, as far as the room for
// further replicas is needed.
void Autoscaler::ChooseHeadroomMachines() {
  std::vector<Machine*> candidates;
  for (auto& [name, machine] : machines_->all()) {
    Machine* m = machine.get();
    m->role.for_services = m->type && HoldsReplicas(*m);
    if (InPlan(*m) && m->lifecycle.token_acknowledged) candidates.push_back(m);
  }
  const std::vector<Placement::Headroom> needs = HeadroomNeeds();
  if (needs.empty()) return;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Machine* a, const Machine* b) {
                     if (a->role.for_services != b->role.for_services)
                       return a->role.for_services;
                     return PricePerCore(*a) < PricePerCore(*b);
                   });
  for (const Placement::Headroom& need : needs) {
    const double of_a_zone = need.OfAZone();
    std::map<std::string, double> kept;  // slots, by zone
    double left = need.slots;
    for (Machine* m : candidates) {
      if (left < 1) break;
      m->role.excess = false;  // chosen anew after this
      const double slots = std::min({left, of_a_zone - kept[m->zone],
                                     Placement::HeadroomSlots(*m, need.usual)});
      if (slots < 1) continue;
      kept[m->zone] += slots;
      left -= slots;
      m->role.for_services = true;
    }
  }
}

const Autoscaler::Offer* Autoscaler::CheapestHeadroomOffer(
    const ClassProfile& usual, const std::vector<Offer>& offers,
    const std::map<std::string, double>& free, double of_a_zone) const {
  const Offer* best = nullptr;
  for (const Offer& offer : offers) {
    const auto there = free.find(offer.zone);
    if (Refused(offer) || Placement::SlotsOnType(*offer.type, usual) < 1 ||
        !Placement::AllowsLocation(usual.spec, *offer.type, offer.zone,
                                   offer.spot) ||
        (there != free.end() && there->second >= of_a_zone))
      continue;
    if (!best ||
        offer.price / offer.type->cpus < best->price / best->type->cpus)
      best = &offer;
  }
  return best;
}

void Autoscaler::PlanHeadroom(std::map<std::string, int>* wanted) {
  const std::vector<Offer> offers = Offers();
  for (Placement::Headroom& need : HeadroomNeeds()) {
    for (const auto& [id, job] : jobs_->all())
      if (job->spec().job_class == need.job_class && !job->failing())
        need.slots += job->progress.pending.size();
    const double of_a_zone = need.OfAZone();
    std::map<std::string, double> free;  // by zone
    const auto coming = [&](const MachineType& type, const std::string& zone,
                            bool spot, double count) {
      if (Placement::AllowsLocation(need.usual.spec, type, zone, spot))
        free[zone] += count * Placement::SlotsOnType(type, need.usual);
    };
    for (const auto& [name, machine] : machines_->all()) {
      if (!InPlan(*machine)) continue;
      if (machine->lifecycle.ever_reported)
        free[machine->zone] += Placement::HeadroomSlots(*machine, need.usual);
      else
        coming(*machine->type, machine->zone, machine->spot, Coming(*machine));
    }
    for (const auto& [name, rent] : rents_)
      if (const MachineType* type = FindType(rent.record.type);
          type && !rent.record.answered)
        coming(*type, rent.record.zone, rent.record.spot, rent.record.count);
    for (const Offer& offer : offers)
      if (auto it = wanted->find(offer.Key()); it != wanted->end())
        coming(*offer.type, offer.zone, offer.spot, it->second);
    const auto covered = [&] {
      double sum = 0;
      for (const auto& [zone, count] : free) sum += std::min(count, of_a_zone);
      return sum;
    };
    while (covered() < need.slots) {
      const Offer* best =
          CheapestHeadroomOffer(need.usual, offers, free, of_a_zone);
      if (!best) break;
      ++(*wanted)[best->Key()];
      coming(*best->type, best->zone, best->spot, 1);
    }
  }
}

void Autoscaler::Plan() {
  std::map<std::string, int> wanted;
  PlanCheap(&wanted);
  PlanDear(&wanted);
  PlanHeadroom(&wanted);
  const std::vector<Offer> offers = Offers();
  double planned = 0;
  for (const auto& [name, machine] : machines_->all())
    if (InPlan(*machine)) planned += machine->type->cpus * Coming(*machine);
  for (const auto& [name, rent] : rents_)
    if (const MachineType* type = FindType(rent.record.type);
        type && !rent.record.answered)
      planned += rent.record.count * type->cpus;
  for (const Offer& offer : offers)
    if (auto it = wanted.find(offer.Key()); it != wanted.end())
      planned += it->second * offer.type->cpus;
  // The base is rented whether or not there is work for it.
  while (planned < base_target_) {
    const Offer* best = nullptr;
    for (const Offer& offer : offers)
      if (!Refused(offer) && (!best || offer.price / offer.type->cpus <
                                           best->price / best->type->cpus))
        best = &offer;
    if (!best) break;
    ++wanted[best->Key()];
    planned += best->type->cpus;
  }
  for (const Offer& offer : offers) {
    auto it = wanted.find(offer.Key());
    if (it == wanted.end()) continue;
    // As many calls at once as it takes: a fleet is asked for in one go.
    const int most = MostPerRent();
    for (int left = it->second; left > 0; left -= most)
      Begin(offer, std::min(left, most));
  }
}

int Autoscaler::MostPerRent() const {
  const size_t bytes = limits_->value_bytes();
  const size_t names = bytes > kRentRecordBytes
                           ? (bytes - kRentRecordBytes) / kMachineNameBytes
                           : 0;
  return std::clamp(static_cast<int>(names), 1, kMaxPerRent);
}

void Autoscaler::Begin(const Offer& offer, int count) {
  ProvisioningRecord record;
  record.name =
      "r-" + std::to_string(term_) + "-" + std::to_string(++next_rent_);
  record.type = offer.type->name;
  record.zone = offer.zone;
  record.spot = offer.spot;
  record.count = count;
  context_->Info("provisioning machines",
                 {{"count", count},
                  {"type", record.type},
                  {"zone", record.zone},
                  {"spot", offer.spot ? "yes" : "no"}});
  OpenRent rent;
  rent.record = record;
  rent.began = context_->now;
  rents_[record.name] = std::move(rent);
  // The record comes before the call: guards against a machine that a
  // crash between the two would leave without an owner.
  writer_->Put(
      keys::Rent(record.name), protocol::EncodeProvisioningRecord(record),
      {[this, name = record.name] {
         if (auto it = rents_.find(name); it != rents_.end())
           it->second.recorded = true;
       },
       // Without a record nothing is rented.
       [this, name = record.name] { rents_.erase(name); }, /*urgent=*/true});
}

void Autoscaler::CallRent(const std::string& name) {
  OpenRent& rent = rents_[name];
  rent.calling = true;
  context_->Rent(
      rent.record, launch_until_,
      [this, name, generation = generation_](const CloudResult& result) {
        if (generation != generation_) return;
        auto it = rents_.find(name);
        if (it == rents_.end()) return;
        OpenRent& open = it->second;
        open.calling = false;
        const std::string offer = open.record.type + "|" + open.record.zone +
                                  "|" +
                                  (open.record.spot ? "spot" : "ordinary");
        if (result.outcome == Outcome::kRefused && !result.too_late) {
          refused_until_[offer] =
              context_->now +
              (result.no_capacity ? kRefusedOfferS : kCloudTroubleS);
          EndRent(name);
          return;
        }
        if (result.outcome != Outcome::kOk) {
          // It may have been carried out: the same name asked again tells.
          open.next_call = context_->now + 1;
          return;
        }
        if (static_cast<int>(result.machines.size()) < open.record.count)
          refused_until_[offer] = context_->now + kRefusedOfferS;
        open.record.answered = true;
        open.record.machines = result.machines;
        for (const std::string& machine_name : result.machines) {
          if (machines_->IsGone(machine_name)) continue;
          Machine* machine = machines_->Find(machine_name);
          if (!machine) {
            machine = machines_->Add(machine_name);
            machine->type_name = open.record.type;
            machine->type = FindType(open.record.type);
            machine->zone = open.record.zone;
            machine->spot = open.record.spot;
            machine->lifecycle.rented_at = open.began;
          }
          machine->lifecycle.identity_confirmed = true;
          if (!machine->lifecycle.recorded) open.unsettled.insert(machine_name);
        }
        if (open.unsettled.empty())
          EndRent(name);
        else
          writer_->Put(keys::Rent(name),
                       protocol::EncodeProvisioningRecord(open.record));
      });
}

void Autoscaler::OnMachineRecorded(const std::string& machine) {
  std::vector<std::string> ended;
  for (auto& [name, rent] : rents_)
    if (rent.unsettled.erase(machine) > 0 && rent.unsettled.empty() &&
        rent.record.answered)
      ended.push_back(name);
  for (const std::string& name : ended) EndRent(name);
}

void Autoscaler::EndRent(const std::string& name) {
  rents_.erase(name);
  writer_->Remove(keys::Rent(name));
}

double Autoscaler::PricePerCore(const Machine& machine) {
  const double price =
      machine.spot ? machine.type->spot_price : machine.type->price;
  return price / std::max(1.0, machine.type->cpus);
}

// The cheapest machines, the oldest among equals, are the base, up to its
// target. The target follows the load that is seen, under the operators' share
// of the guarantees.
void Autoscaler::ChooseBase() {
  std::vector<Machine*> usable;
  double used = 0;
  for (auto& [name, machine] : machines_->all()) {
    machine->role.baseline = false;
    used += machine->cpus_used;
    if (machine->InService()) usable.push_back(machine.get());
  }
  // Until the first machines are up there is no load to be seen.
  if (!usable.empty())
    load_ += (used - load_) * std::min(1.0, 1 / policy_.baseline_smoothing_s);
  base_target_ = std::min(base_most_, load_);
  std::stable_sort(usable.begin(), usable.end(),
                   [](const Machine* a, const Machine* b) {
                     return PricePerCore(*a) < PricePerCore(*b);
                   });
  double cpus = 0;
  for (Machine* machine : usable) {
    machine->role.baseline = cpus < base_target_;
    if (machine->role.baseline) cpus += machine->type->cpus;
  }
}

// When the cheaper machines can do all the work there is within the drain time,
// the dearer ones get no more of it: they empty and go.
void Autoscaler::ChooseSurplus() {
  std::vector<Machine*> up;
  double capacity = 0, demand = 0;
  for (auto& [name, machine] : machines_->all()) {
    machine->role.was_excess = std::exchange(machine->role.excess, false);
    if (!machine->InService()) continue;
    up.push_back(machine.get());
    capacity += machine->type->cpus;
    for (const auto& [key, attempt] : machine->attempts)
      if (const Job* job = jobs_->Find(key.job))
        demand += Cores(job->spec(), *machine->type);
  }
  if (up.empty()) return;
  std::map<std::string, double> team_left = TeamLeft();
  for (const Job* job : jobs_->queue())
    demand += MayStartTask(*job, &team_left) *
              CoreSeconds(job->spec(), *up[0]->type, policy_.backlog_limit_s) /
              policy_.backlog_limit_s;
  // The dearest first; among equals those that are emptying already, then those
  // that will be empty soonest.
  const auto rank = [](const Machine* m) {
    return std::make_tuple(m->role.baseline, -PricePerCore(*m),
                           !m->role.was_excess, m->cpus_used / m->type->cpus);
  };
  std::stable_sort(
      up.begin(), up.end(),
      [&](const Machine* a, const Machine* b) { return rank(a) < rank(b); });
  for (Machine* machine : up) {
    if (machine->role.baseline) break;
    if (machine->role.for_services) continue;
    if ((capacity - machine->type->cpus) < demand * kExcessMargin) continue;
    machine->role.excess = true;
    capacity -= machine->type->cpus;
  }
  DrainExcessMachines(up);
}

// Moves what can save its progress off excess machines, when all that is on
// one can and the others have the room now: the dear ones whatever they hold,
// the rest once they are half empty.
void Autoscaler::DrainExcessMachines(const std::vector<Machine*>& first) {
  double room = 0, cheapest = PricePerCore(*first.front());
  for (const Machine* machine : first) {
    if (!machine->role.excess) room += machine->cpus_free();
    cheapest = std::min(cheapest, PricePerCore(*machine));
  }
  for (Machine* machine : first) {
    if (!machine->role.excess || machine->attempts.empty()) continue;
    const bool dear = PricePerCore(*machine) >= cheapest * kDearRatio;
    if (!dear && machine->cpus_used > machine->type->cpus * kMoveUsedShare)
      continue;
    const double needed = machine->cpus_used * kMoveRoom;
    if (needed > room ||
        !std::all_of(machine->attempts.begin(), machine->attempts.end(),
                     [&](const auto& item) {
                       return placement_->IsPreemptible(item.second);
                     }))
      continue;
    room -= needed;
    for (auto& [key, attempt] : machine->attempts) {
      attempt.stop = true;
      attempt.stop_grace_s = jobs_->Find(key.job)->spec().save_s + 1;
    }
    context_->Info("draining machine", {{"machine", machine->name}});
  }
}

}  // namespace sorrelwood
