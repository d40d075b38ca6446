# The message between controllers; PeerStatus in the code. Controllers of
# different versions read each other's messages, so the file's id, the types,
# the fields and their numbers must not change; only new fields may be added.
# tests/stored_forms_test.cc checks the encoded bytes.
@0xb0d3f6a1c2947e58;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sorrelwood::peer_schema");

# The status that a controller sends to all others about once a second.
struct Note {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  term @3 :UInt64;     # the highest term that the controller knows
  leader @4 :Bool;     # whether it is the leader of this term
  servedAgoMs @6 :UInt32;  # since the state service's last response
  jobs @5 :List(Counts);  # only from the leader: jobs whose counts have changed

  struct Counts {
    job @0 :Text;
    done @1 :UInt32;
    running @2 :UInt32;
  }
}
