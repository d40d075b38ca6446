// The published protocol's JSON, and only here its words. Every parser checks
// what it reads and says what is wrong; none throws.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/engine/actions.h"
#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"
#include "core/model/stored_records.h"

namespace sorrelwood::wire {

// Where workers send their reports.
inline constexpr char kHeartbeatPath[] = "/agent/beat";

// --- Users
// ---------------------------------------------------------------------
bool ParseSubmission(const std::string& body, JobSpec* spec,
                     std::string* error);
bool ValidJobId(const std::string& id);
std::string EncodeStatus(const std::string& id, const std::string& status);
std::string EncodeStatus(const std::string& id, const std::string& status,
                         uint32_t done, uint32_t running);
std::string EncodeError(const std::string& message);

// --- Workers
// -------------------------------------------------------------------
bool ParseHeartbeat(const std::string& body, Heartbeat* heartbeat,
                    std::string* error);
std::string EncodeHeartbeatResponse(const HeartbeatResponse& answer);
std::string EncodePushedCommands(const PushedCommands& command);

// --- Cloud
// ---------------------------------------------------------------------
std::string EncodeRent(const ProvisioningRecord& rent);
std::string EncodeRelease(const std::vector<std::string>& machines);
bool ParseCatalog(const std::string& body, std::vector<MachineType>* types);
bool ParseMachineNames(const std::string& body,
                       std::vector<std::string>* names);
bool ParseMachineList(const std::string& body, std::vector<ListedMachine>* list,
                      bool* more);

// --- State service
// ---------------------------------------------------------------
std::string EncodeTransaction(const StateTransaction& transaction);
std::string EncodeLease(double ttl_s);
// Each fills what the answer carries; false when it makes no sense.
bool ParseRevision(const std::string& body, StateResult* result);
bool ParseItem(const std::string& body, StateResult* result);
bool ParseItems(const std::string& body, StateResult* result, bool* more);
bool ParseLease(const std::string& body, StateResult* result);
bool ParseEvents(const std::string& body, StateResult* result);

// --- Our own records in the state service
// -------------------------------------------
std::string EncodeLiveJob(const LiveJob& job);
bool ParseLiveJob(const std::string& text, LiveJob* job);
std::string EncodeFinal(FinalState state);
bool ParseFinal(const std::string& text, FinalState* state);
std::string EncodeLeader(const LeaderRecord& leader);
bool ParseLeader(const std::string& text, LeaderRecord* leader);
std::string EncodeTerm(uint64_t term);
bool ParseTerm(const std::string& text, uint64_t* term);
std::string EncodeProvisioningRecord(const ProvisioningRecord& rent);
bool ParseProvisioningRecord(const std::string& text, ProvisioningRecord* rent);
std::string EncodeMachineRecord(const MachineRecord& machine);
bool ParseMachineRecord(const std::string& text, MachineRecord* machine);
std::string EncodeCompletions(const CompletionRecord& record);
bool ParseCompletions(const std::string& text, CompletionRecord* record);

}  // namespace sorrelwood::wire
