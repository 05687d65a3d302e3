@0xd1c6f0a4b8e3927f;
# Messages between routers; `peer_codec` turns them into `messages` and back.

struct Envelope {
  sender @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    demandReport @2 :DemandReport;
    grantUpdate @3 :GrantUpdate;
  }
}

struct Heartbeat {
  incarnation @0 :UInt64;
  leaving @1 :Bool;
  isReady @2 :Bool;
  catalogueOffset @3 :UInt64;
  intervalMs @4 :UInt32;
  stamp @5 :UInt64;
}

struct WorkspaceDemand {
  workspace @0 :Text;
  queued @1 :UInt32;
  oldestAgeMs @2 :UInt32;
  served @3 :Float64;
  nextCost @4 :Float32;
  preferred @5 :Text;
  virtualTime @6 :Float64;
  unsettled @7 :Float64;
}

struct SlotUse {
  target @0 :Text;
  workspace @1 :Text;
  granted @2 :UInt32;
  spent @3 :UInt32;
  running @4 :UInt32;
  estimate @5 :Float32;
}

struct TargetUse {
  target @0 :Text;
  completed @1 :UInt32;
  failed @2 :UInt32;
  isDraining @3 :Bool;
}

struct DemandReport {
  pool @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
  sequence @3 :UInt32;
  part @4 :UInt16;
  parts @5 :UInt16;
  acknowledged @6 :UInt32;
  isFull @7 :Bool;
  floor @8 :Float64;
  workspaces @9 :List(WorkspaceDemand);
  slots @10 :List(SlotUse);
  targets @11 :List(TargetUse);
}

struct Grant {
  workspace @0 :Text;
  target @1 :Text;
  granted @2 :UInt32;
  virtualTime @3 :Float64;
}

struct QueuedElsewhere {
  workspace @0 :Text;
  queued @1 :UInt32;
}

struct GrantUpdate {
  pool @0 :Text;
  session @1 :UInt64;
  sequence @2 :UInt32;
  part @3 :UInt16;
  parts @4 :UInt16;
  acknowledged @5 :UInt32;
  needsFull @6 :Bool;
  floor @7 :Float64;
  grants @8 :List(Grant);
  queues @9 :List(QueuedElsewhere);
}
