// Holds or refuses single requests to a server, so that a test decides in which
// order requests are carried out and answered.
#pragma once

#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelwood::test {

// Targets are compared by their beginning. Thread-safe.
class RequestRules {
 public:
  enum class HoldPoint { kBeforeExecution, kBeforeAnswer };

  // Holds the next request to the target until Release() or, so that no thread
  // of the server is lost, for at most 10 s.
  void HoldNext(const std::string& target, HoldPoint point);
  // Whether a request to the target is being held.
  bool IsHeld(const std::string& target) const;
  // Lets the requests go on that are or would be held for this target.
  void Release(const std::string& target);
  // Has all requests to the target answered 429 from now on.
  void Refuse(const std::string& target);
  // The number of requests to the target that were carried out.
  size_t CountExecuted(const std::string& target) const;

  // For the server. Called before a request is carried out; false: it is to be
  // refused.
  bool BeforeExecution(const std::string& target);
  // Called before the answer of a request that was carried out is sent.
  void BeforeAnswer(const std::string& target);

 private:
  struct Hold {
    std::string target;
    HoldPoint point = HoldPoint::kBeforeExecution;
    bool held = false;
  };

  void WaitWhileHeld(std::unique_lock<std::mutex>& lock,
                     const std::string& target, HoldPoint point);

  mutable std::mutex mutex_;
  std::condition_variable released_;
  std::list<Hold> holds_;
  std::vector<std::string> refused_;
  std::vector<std::string> executed_;
};

}  // namespace sorrelwood::test
