# The message between controllers; PeerStatus in the code. Versions read each
# other's messages: the file's id, the types, the fields and their numbers stay,
# and only further fields may be added. tests/stored_forms_test.cc holds the
# bytes.
@0xb0d3f6a1c2947e58;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sorrelwood::peer_schema");

# What a controller tells the others about once a second.
struct Note {
  node @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  term @3 :UInt64;     # the highest it knows of
  leader @4 :Bool;
  servedAgoMs @6 :UInt32;  # since the state service last served it
  jobs @5 :List(Counts);  # from the leader: jobs whose counts have changed

  struct Counts {
    job @0 :Text;
    done @1 :UInt32;
    running @2 :UInt32;
  }
}
