/* Job records in the store, and the RPC messages between coordinators, agents
   and front ends about jobs. generate.sh compiles this file with rpcgen. */

/* Limits of strings and opaque data (bytes) and of arrays (elements). Names are
   chosen by this system or its settings; texts come from clients, endpoints and
   the configuration and are checked where they enter. */
const HK_JOB_NAME_MAX = 200;
const HK_JOB_TEXT_MAX = 65536;
const HK_JOB_PAYLOAD_MAX = 1048576;
const HK_JOB_STEPS_MAX = 4096;
const HK_JOB_TASKS_MAX = 65536;
const HK_JOB_LABELS_MAX = 1024;
const HK_JOB_LABELS_MAX_BYTES = 262144;
const HK_JOB_JOBS_MAX = 16;
/* Names of images in the interference table of one message, bytes. */
const HK_JOB_INTERFERENCE_MAX_BYTES = 1048576;

/* Bits of the flags of hk_step_spec and hk_start_order. */
const HK_STEP_CHECKPOINTS = 1;
const HK_STEP_GANG = 2;
const HK_STEP_RACK_LOCAL = 4;
const HK_STEP_SPECULATIVE = 8;
const HK_STEP_SERVICE = 16;
const HK_STEP_BEST_EFFORT = 32;

struct hk_step_spec {
  unsigned count;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned estimate_ms;
  unsigned flags;
  unsigned after<HK_JOB_STEPS_MAX>;
  string label<HK_JOB_TEXT_MAX>;
  string rack<HK_JOB_TEXT_MAX>;
  string image<HK_JOB_TEXT_MAX>;
  unsigned per_instance_max;
  unsigned target_ms;
  unsigned max_unavailable;
};

/* A job as submitted. The record never changes. */
struct hk_job_spec {
  string id<HK_JOB_NAME_MAX>;
  string queue<HK_JOB_TEXT_MAX>;
  string pool<HK_JOB_TEXT_MAX>;
  unsigned urgency;
  unsigned max_attempts;
  unsigned stretch_milli;
  unsigned target_ms;
  unsigned repeat;
  hyper first_due_ms;
  hyper interval_ms;
  hk_step_spec steps<HK_JOB_STEPS_MAX>;
  opaque payload<HK_JOB_PAYLOAD_MAX>;
};

/* Progress of a task; place and spare_place are indexes into the places of its
   job, counted from 1, and 0 if there is no such run. spare_run is the second
   of two concurrent runs or, without one, the number of the last run. */
struct hk_task_progress {
  unsigned state;
  unsigned run;
  unsigned failures;
  unsigned place;
  unsigned spare_run;
  unsigned spare_place;
  string checkpoint<HK_JOB_TEXT_MAX>;
};

/* Where a run is placed: "agent/start time of its endpoint". */
struct hk_place_name {
  string life<HK_JOB_NAME_MAX>;
};

/* Progress of a job, stored apart from its much larger hk_job_spec. */
struct hk_job_progress {
  unsigned state;
  hyper accepted_ms;
  hyper ended_ms;
  string queue<HK_JOB_TEXT_MAX>;
  hk_place_name places<HK_JOB_TASKS_MAX>;
  hk_task_progress tasks<HK_JOB_TASKS_MAX>;
};

/* A task that endpoints have crashed under; see struct hk_crash_history. */
struct hk_task_crashes {
  unsigned step;
  unsigned index;
  unsigned crashes;
  unsigned age_ms;
};

/* Follows hk_job_progress in its record, if it is not empty. Builds that do
   not know it ignore it. */
struct hk_job_crashes {
  hk_task_crashes tasks<HK_JOB_TASKS_MAX>;
};

/* A suspect that waits; ready_ms is the time of day since when. */
struct hk_task_wait {
  unsigned step;
  unsigned index;
  hyper ready_ms;
};

/* The run of a suspect; it has been seen running for age_ms at least. */
struct hk_run_age {
  unsigned step;
  unsigned index;
  unsigned run;
  hyper age_ms;
};

/* Follows hk_job_crashes in its record, likewise. */
struct hk_job_waits {
  hk_task_wait tasks<HK_JOB_TASKS_MAX>;
  hk_run_age runs<HK_JOB_TASKS_MAX>;
};

struct hk_task_id {
  string job<HK_JOB_NAME_MAX>;
  unsigned occurrence;
  unsigned step;
  unsigned index;
};

/* State of a run that has not ended. */
struct hk_run_report {
  hk_task_id task;
  unsigned run;
  bool started;
  bool known; /* FALSE if the agent lost the start order in a restart */
  unsigned percent;
  unsigned figure;
  unsigned pace;
  string checkpoint<HK_JOB_TEXT_MAX>;
};

enum hk_end_how {
  HK_END_DONE = 0,
  HK_END_FAILED = 1,
  HK_END_STOPPED = 2,
  HK_END_LEASE_EXPIRED = 3,
  HK_END_BROKEN = 4,
  HK_END_ALONE = 5,
  HK_END_REFUSED = 6,
  HK_END_LOST = 7
};

struct hk_run_end {
  hk_task_id task;
  unsigned run;
  hk_end_how how;
  string checkpoint<HK_JOB_TEXT_MAX>;
};

struct hk_label {
  string text<HK_JOB_TEXT_MAX>;
};

/* Interference that images of best-effort tasks cause to service images. */
struct hk_interference_row {
  string serving<HK_JOB_TEXT_MAX>;
  string interfering_image<HK_JOB_TEXT_MAX>;
  unsigned milli;
};

/* Report of an agent to the coordinator. */
struct hk_sync_args {
  string agent<HK_JOB_NAME_MAX>;
  string domain<HK_JOB_NAME_MAX>;
  hyper endpoint_started_ms;
  unsigned hyper term;
  bool described; /* pool, labels and capacity are set */
  bool draining;
  bool leaving;
  unsigned drain_left_ms;
  unsigned final_lease_ms;
  string pool<HK_JOB_NAME_MAX>;
  hk_label labels<HK_JOB_LABELS_MAX>;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  hk_run_report runs<HK_JOB_TASKS_MAX>;
  hk_run_end ends<HK_JOB_TASKS_MAX>;
  hk_interference_row interference_estimates<HK_JOB_TASKS_MAX>; /* sent to a new coordinator only */
};

/* Order to start a run. */
struct hk_start_order {
  hk_task_id task;
  unsigned run;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned flags;
  unsigned target_ms;
  string image<HK_JOB_TEXT_MAX>;
  string checkpoint<HK_JOB_TEXT_MAX>;
  opaque payload<HK_JOB_PAYLOAD_MAX>;
};

struct hk_run_id {
  hk_task_id task;
  unsigned run;
};

/* Orders of the coordinator to an agent. */
struct hk_sync_reply {
  bool leading;
  bool leadership_unconfirmed; /* the coordinator's calls to the store fail */
  unsigned hyper term;
  unsigned grant_ms; /* lease grant, from the time the report arrived */
  hk_start_order starts<HK_JOB_TASKS_MAX>;
  hk_run_id stops<HK_JOB_TASKS_MAX>;
  hk_run_id committed_ends<HK_JOB_TASKS_MAX>; /* ends that are in the store */
  hk_interference_row interference_estimates<HK_JOB_TASKS_MAX>;
};

enum hk_job_request_kind {
  HK_JOB_REQUEST_SUBMIT = 0,
  HK_JOB_REQUEST_STATE = 1,
  HK_JOB_REQUEST_CANCEL = 2,
  HK_JOB_REQUEST_PENDING = 3
};

/* An attempt of a front end to send a request: its number, counted from 1, and
   the time since the front end received the request.

   The leader of @term alone may carry it out. @received_ms and @expires_ms are
   on that leader's clock, each not later than the true time: when the front end
   received the request, and when it gives the attempt up.

   If it is @delayed, the front end was suspended for longer than clients wait,
   and @received_ms is when that began: the client may have given up and sent
   another request meanwhile. */
struct hk_request_attempt {
  unsigned number;
  unsigned age_ms;
  unsigned hyper term;
  hyper received_ms;
  hyper expires_ms;
  bool delayed;
};

/* A request that a front end forwards to the leading coordinator. */
struct hk_job_request_args {
  hk_job_request_kind kind;
  string id<HK_JOB_NAME_MAX>;
  string queue<HK_JOB_TEXT_MAX>;
  hk_job_spec job<1>;
  hk_request_attempt attempt;
};

enum hk_job_request_outcome {
  HK_JOB_REQUEST_DONE = 0,
  HK_JOB_REQUEST_REFUSED = 1,
  HK_JOB_REQUEST_UNKNOWN = 2,
  HK_JOB_REQUEST_NOT_FOUND = 3,
  HK_JOB_REQUEST_NOT_LEADING = 4, /* it may have been stored all the same */
  HK_JOB_REQUEST_NOT_TAKEN = 5    /* this attempt is never carried out */
};

struct hk_job_request_reply {
  hk_job_request_outcome outcome;
  unsigned state;
  unsigned pending;
  unsigned retry_after_s;
  string reason<HK_JOB_NAME_MAX>;
};

/* Asks where the tasks of a job would be placed now; nothing is submitted. */
struct hk_where_args {
  hk_job_spec job;
};

/* The answer is JSON text, empty unless the outcome is HK_JOB_REQUEST_DONE. */
struct hk_where_reply {
  hk_job_request_outcome outcome;
  unsigned retry_after_s;
  string reason<HK_JOB_NAME_MAX>;
  string answer<HK_JOB_TEXT_MAX>;
};

struct hk_ping_args {
  string name<HK_JOB_NAME_MAX>;
};

struct hk_ping_reply {
  bool leading;
  bool resigning;
  bool awaiting_agents; /* still waits for the first report of some agents */
  unsigned hyper term;
  unsigned store_age_ms;
  unsigned capacity_score_percent;
  hyper clock_ms; /* of the process that replies */
};

program HK_COORD_PROGRAM {
  version HK_COORD_V1 {
    void HK_COORD_NULL(void) = 0;
    hk_sync_reply HK_COORD_SYNC(hk_sync_args) = 1;
    hk_job_request_reply HK_COORD_REQUEST(hk_job_request_args) = 2;
    hk_ping_reply HK_COORD_PING(hk_ping_args) = 3;
    hk_where_reply HK_COORD_WHERE(hk_where_args) = 4;
  } = 1;
} = 0x20004b43;
