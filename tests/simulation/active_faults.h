// The injected faults of the whole cluster, each with the time at which it ends
// (s); a fault that ended in the past is not active. ControllerProcess and
// Worker hold the faults of single controllers and machines.
#pragma once

namespace sorrelwood::test {

// A fault that affects a share of the messages, requests or jobs.
struct PartialFault {
  double until_s = 0;
  double share = 0;
};

struct ActiveFaults {
  double state_outage_until_s = 0;
  double state_slow_until_s = 0;
  PartialFault late_transactions;
  PartialFault transaction_answers_lost;

  double peer_messages_lost_until_s = 0;
  double zone_partition_until_s = 0;

  double cloud_outage_until_s = 0;
  double slow_boots_until_s = 0;
  double instant_boots_until_s = 0;

  PartialFault late_heartbeat_copies;
  PartialFault heartbeats_replayed_to_next_leader;

  PartialFault cancel_at_completion;
  double poll_overload_until_s = 0;
  double unusual_requests_until_s = 0;
  double poll_all_on_change_until_s = 0;
};

}  // namespace sorrelwood::test
