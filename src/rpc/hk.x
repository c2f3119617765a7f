/* RPC messages of entries and agents, to each other and from the command line.
   generate.sh compiles this file with rpcgen. */

/* Limits of strings and opaque data, bytes. */
const HK_RPC_MAX_NAME = 256;
const HK_RPC_MAX_TEXT = 1024;
const HK_RPC_MAX_BODY = 2097152;
const HK_RPC_MAX_STORE_VALUE = 1048576;

/* Load and free capacity of an instance. */
struct hk_rpc_load {
  unsigned slots;
  unsigned running;
  unsigned queued;
  unsigned free_cpu_milli;
  unsigned free_memory_mb;
  unsigned free_accelerators;
  unsigned slowdown_percent;
  bool refusing;
  hyper table_revision;
  unsigned hyper incarnation;
};

struct hk_rpc_announce_args {
  string name<HK_RPC_MAX_NAME>;
  string incarnation<HK_RPC_MAX_NAME>;
  string boot<HK_RPC_MAX_NAME>;
  string session<HK_RPC_MAX_NAME>;
  string domain<HK_RPC_MAX_NAME>;
  string pool<HK_RPC_MAX_NAME>;
  string address<HK_RPC_MAX_NAME>;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  hk_rpc_load load;
};

struct hk_rpc_announce_reply {
  hyper table_revision;
  unsigned next_ms;
};

/* The newest table revision that the requesting process has. */
struct hk_rpc_snapshot_args {
  hyper table_revision;
};

struct hk_rpc_tables {
  hyper revision;
  opaque text<HK_RPC_MAX_STORE_VALUE>; /* JSON; empty if there is no newer one */
};

/* Outcome of a request at its agent; UNKNOWN if it may have run. */
enum hk_rpc_outcome {
  HK_OUTCOME_DONE = 0,
  HK_OUTCOME_NOT_RUN = 1,
  HK_OUTCOME_UNKNOWN = 2,
  HK_OUTCOME_RUNNING = 3
};

struct hk_rpc_execute_args {
  string incarnation<HK_RPC_MAX_NAME>;
  string request_id<HK_RPC_MAX_NAME>;
  string route<HK_RPC_MAX_NAME>;
  string method<HK_RPC_MAX_NAME>;
  string path<HK_RPC_MAX_TEXT>;
  string content_type<HK_RPC_MAX_NAME>;
  string key<HK_RPC_MAX_NAME>;
  string team<HK_RPC_MAX_NAME>;
  unsigned deadline_ms;
  opaque body<HK_RPC_MAX_BODY>;
};

struct hk_rpc_execute_reply {
  hk_rpc_outcome outcome;
  unsigned status;
  string content_type<HK_RPC_MAX_NAME>;
  string reason<HK_RPC_MAX_TEXT>;
  hk_rpc_load load;
  opaque body<HK_RPC_MAX_BODY>;
};

struct hk_rpc_cancel_args {
  string incarnation<HK_RPC_MAX_NAME>;
  string request_id<HK_RPC_MAX_NAME>;
};

struct hk_rpc_offer_args {
  string incarnation<HK_RPC_MAX_NAME>;
  hyper mod_revision;
  opaque record<HK_RPC_MAX_STORE_VALUE>;
};

struct hk_rpc_status_reply {
  int status;
  string reason<HK_RPC_MAX_TEXT>;
  hk_rpc_load load;
};

struct hk_rpc_drain_args {
  string name<HK_RPC_MAX_NAME>;
  bool on;
};

struct hk_rpc_session_args {
  string session<HK_RPC_MAX_NAME>;
};

program HK_ENTRY_PROGRAM {
  version HK_ENTRY_V1 {
    void HK_ENTRY_NULL(void) = 0;
    hk_rpc_announce_reply HK_ENTRY_ANNOUNCE(hk_rpc_announce_args) = 1;
    hk_rpc_tables HK_ENTRY_SNAPSHOT(hk_rpc_snapshot_args) = 2;
  } = 1;
} = 0x20004b45;

program HK_AGENT_PROGRAM {
  version HK_AGENT_V1 {
    void HK_AGENT_NULL(void) = 0;
    hk_rpc_execute_reply HK_AGENT_EXECUTE(hk_rpc_execute_args) = 1;
    hk_rpc_execute_reply HK_AGENT_CANCEL(hk_rpc_cancel_args) = 2;
    hk_rpc_execute_reply HK_AGENT_QUERY(hk_rpc_cancel_args) = 3;
    hk_rpc_status_reply HK_AGENT_OFFER(hk_rpc_offer_args) = 4;
    hk_rpc_status_reply HK_AGENT_CANCEL_JOB(hk_rpc_offer_args) = 5;
    hk_rpc_status_reply HK_AGENT_TABLES(hk_rpc_tables) = 6;
    hk_rpc_status_reply HK_AGENT_DRAIN(hk_rpc_drain_args) = 7;
    hk_rpc_tables HK_AGENT_SNAPSHOT(hk_rpc_snapshot_args) = 8;
    hk_rpc_status_reply HK_AGENT_SESSION_GONE(hk_rpc_session_args) = 9;
  } = 1;
} = 0x20004b41;
