// The controllers' own records in the state service. They are not part of the
// published protocol, but each version must read records of the other versions:
// tests/stored_forms_test.cc fixes the bytes. A parser returns an error if a
// record is damaged or was written by another program.
#pragma once

#include <cstdint>
#include <string>

#include "base/parse_error.h"
#include "core/model/job.h"
#include "core/model/stored_records.h"

namespace sorrelwood::protocol {

// A job that has not ended. Its specification has the field names of the
// published protocol.
std::string EncodeLiveJob(const LiveJob& job);
ParseResult<LiveJob> ParseLiveJob(const std::string& text);

// How a job ended.
std::string EncodeFinalState(FinalState state);
ParseResult<FinalState> ParseFinalState(const std::string& text);

// The current leader. The record is removed when the leader's lease ends.
std::string EncodeLeaderRecord(const LeaderRecord& leader);
ParseResult<LeaderRecord> ParseLeaderRecord(const std::string& text);

// The latest term of any leader. The record is not bound to a lease.
std::string EncodeTerm(uint64_t term);
ParseResult<uint64_t> ParseTerm(const std::string& text);

// A request to the cloud for machines.
std::string EncodeProvisioningRecord(const ProvisioningRecord& request);
ParseResult<ProvisioningRecord> ParseProvisioningRecord(
    const std::string& text);

// A machine that tasks may be placed on.
std::string EncodeMachineRecord(const MachineRecord& machine);
ParseResult<MachineRecord> ParseMachineRecord(const std::string& text);

// Which tasks of a job are done.
std::string EncodeCompletionRecord(const CompletionRecord& record);
ParseResult<CompletionRecord> ParseCompletionRecord(const std::string& text);

}  // namespace sorrelwood::protocol
