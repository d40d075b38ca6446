// The users' requests. Every controller answers them by itself through the
// state service, whoever leads.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/coordination/job_cache.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"

namespace sorrelwood {

class JobApi {
 public:
  JobApi(Context* context, JobCache* job_cache, const StateLimitTracker* limits,
         const ClusterSettings* settings);

  void UpdateCatalog(const std::vector<MachineType>& types) { types_ = types; }
  // Answers that wait for the state service and could not be given in time are
  // given up; the checks that are due are sent.
  void Tick();

  void Submit(uint64_t request, const JobSpec& spec);
  void Poll(uint64_t request, const std::string& id);
  void Cancel(uint64_t request, const std::string& id);

 private:
  struct Waiting {
    uint64_t request = 0;
    std::string id;
  };

  enum class Kind { kPoll, kChange };
  bool Admit(uint64_t request, Kind kind);
  void Busy(uint64_t request, const std::string& why);
  // Whether a job that is not known here may be looked up for a poll now.
  bool MayLookUp();
  void Answer(uint64_t request, int status, std::string body,
              double retry_after_s = 0);
  void AnswerState(uint64_t request, int status, const std::string& id);
  void AnswerFinal(uint64_t request, const std::string& id, FinalState state);
  void Unavailable(uint64_t request, const std::string& why);
  // Empty, or why no machine or limit could ever take a task of the job.
  std::string Impossible(const JobSpec& spec) const;
  // Refuses a submission that can't be taken, unless it was accepted before.
  void RefuseUnlessKnown(uint64_t request, const std::string& id, int status,
                         const std::string& why);
  // Reads live key, then final key, and calls `found` with what there is: the
  // job moves from the first to the second, so this order misses nothing.
  enum class Where { kLive, kFinal, kNowhere, kNoAnswer };
  void LookUp(StateConnection connection, const std::string& id,
              const std::function<void(Where)>& found);
  void ReadFinal(StateConnection connection, const std::string& id,
                 const std::function<void(Where)>& found);
  void TellFinal(StateConnection connection, std::vector<uint64_t> requests,
                 const std::string& id);
  void CancelLive(uint64_t request, const std::string& id);
  void Check();

  Context* context_;
  JobCache* job_cache_;
  const StateLimitTracker* limits_;
  const ClusterSettings* settings_;
  std::vector<MachineType> types_;
  struct Open {
    Kind kind = Kind::kPoll;
    double until = 0;  // then it is given up
  };
  std::map<uint64_t, Open> open_;  // by request
  size_t open_polls_ = 0;
  double look_ups_ = 0, look_ups_at_ = 0;  // that polls may cause now
  std::vector<Waiting> checks_;            // polls that wait for the next check
  double check_at_ = 0;
  double check_every_s_ = 0;
  int checks_sent_ = 0;
};

}  // namespace sorrelwood
