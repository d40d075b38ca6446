// The threads of one controller: connections, the core's input queue, and the
// lanes that carry its requests to the outside.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "concurrency/blocking_queue.h"
#include "concurrency/threads.h"
#include "core/controller/controller.h"
#include "http/server.h"
#include "peer/peer_connection.h"
#include "server/metrics.h"

namespace sorrelwood {

class App {
 public:
  App(const ClusterSettings& settings, const PolicySettings& policy,
      uint64_t incarnation);

  // Serves until the process is killed; false when an address can't be had.
  bool Run();

 private:
  using Input = std::function<Actions(Controller&, Controller::Time)>;
  struct Answer {
    int status = 503;
    std::string body;
    double retry_after_s = 1;
  };
  struct Slot;

  void CoreLoop();
  void Dispatch(Actions actions);
  void StartLanes();
  HttpReply Handle(const HttpRequest& request);
  HttpReply HandleUser(const HttpRequest& request);
  HttpReply HandleHeartbeat(const HttpRequest& request);
  // Hands an input to the core and waits for the answer to it.
  Answer Ask(const std::function<Input(uint64_t request)>& make,
             bool from_user);
  void Reply(uint64_t request, Answer answer);
  void PublishFigures();

  const ClusterSettings settings_;
  Controller controller_;
  // Beyond so many waiting inputs users' questions are turned away.
  const size_t most_queued_inputs_;
  std::atomic<bool> healthy_{true};  // so that /up never waits on the core
  Metrics metrics_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<PeerListener> listener_;
  std::vector<std::unique_ptr<PeerSender>> senders_;

  std::mutex input_mutex_;
  std::condition_variable input_ready_;
  // What users ask comes after what machines, peers and outside services
  // say: guards against a storm of questions holding up renewals and
  // reports.
  std::deque<Input> inputs_, user_inputs_;
  void Post(Input input, bool from_user = false);
  bool Crowded();

  BlockingQueue<Action> renewal_lane_, leader_lane_, user_lane_, poll_lane_;
  BlockingQueue<Action> watch_lane_;
  BlockingQueue<Action> list_lane_, cloud_lane_, cloud_list_lane_, direct_lane_;

  std::mutex slot_mutex_;
  std::map<uint64_t, std::shared_ptr<Slot>> slots_;
  uint64_t next_request_ = 1;
};

}  // namespace sorrelwood
