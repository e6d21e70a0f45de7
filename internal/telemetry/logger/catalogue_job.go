package logger

// Events of callers' jobs, of the hosts that decide for them, and of the workers that run them.
var (
	JobAccepted        = Event{600, "job accepted", "A job is stored and was acknowledged to its caller.", SeverityInfo}
	JobRefused         = Event{601, "job refused", "The job was not stored and will not run. StoreAge is the age of the store's last answer.", SeverityWarning}
	JobResultUnknown   = Event{602, "job neither accepted nor refused", "The store may have taken the job. The caller was told that the result is unknown and asks again with the same id.", SeverityWarning}
	CancellationStored = Event{603, "cancellation stored", "The cancellation of a job is stored and was acknowledged.", SeverityInfo}
	JobTakenOver       = Event{604, "job taken over", "The leader schedules the job. Age is the time since an entry host read it.", SeverityInfo}
	JobCancelled       = Event{605, "job cancelled", "The leader stops all runs of the job.", SeverityInfo}
	JobEnded           = Event{606, "job ended", "The end of the job is durable and callers are told of it.", SeverityInfo}
	JobDamaged         = Event{607, "stored job not readable", "A document under Jobs/ was not written by this software. It is passed over. Inspect the key.", SeverityError}
	JobNotDeleted      = Event{608, "job not removed", "A job whose retention is over could not be removed. The next round tries again.", SeverityWarning}

	TaskStarted           = Event{610, "task started", "A worker accepted a run. Waited is the time since the job was due, FreeCores what is left there in thousandths of a core.", SeverityInfo}
	StartRejected         = Event{611, "start not accepted", "The error says whether the worker refused or did not answer. A run without answer is stopped before the task starts elsewhere.", SeverityWarning}
	TaskFailed            = Event{612, "run failed", "A run ended with a fault. Failures counts those of the task, Distrust is the worker's weight of recent faults.", SeverityWarning}
	RunEnded              = Event{613, "run ended early", "A run ended without a result. Resumes tells whether the next one continues from a checkpoint.", SeverityInfo}
	RunLost               = Event{614, "run lost", "A run ended without a report. The reason tells how that is known.", SeverityWarning}
	UnexpectedRunStopped  = Event{615, "unwanted run stopped", "A worker runs what this leader did not place and does not want.", SeverityWarning}
	RunSlow               = Event{616, "run too slow", "A run stands still or takes much longer than its siblings, and is moved.", SeverityWarning}
	SpeculativeRunAllowed = Event{617, "second run allowed", "Another run of the task starts beside one that is slow or leaves.", SeverityInfo}
	StopSent              = Event{618, "stop ordered", "A run is to end. Its room stays taken until the worker lists the end.", SeverityInfo}
	StopUnanswered        = Event{619, "stop without answer", "The stop is repeated when the run is listed again.", SeverityWarning}
	WorkerPaced           = Event{620, "work that fills paced", "The tail latency of a serving task, as a share of its target, called for another pace.", SeverityInfo}
	PaceUnanswered        = Event{621, "pace without answer", "The order is repeated with the next report.", SeverityWarning}
	WorkerDraining        = Event{622, "worker drains", "The worker leaves and gets no more tasks.", SeverityInfo}
	WorkerUnregistered    = Event{623, "worker no longer registered", "The worker gets no more tasks. What it may run is waited for.", SeverityWarning}
	WorkerUnreachable     = Event{624, "worker does not answer", "Runs there count as running until LeaseLeft is over.", SeverityWarning}
	WorkerReachable       = Event{625, "worker answers again", "The worker's lists are known again.", SeverityInfo}
	WorkerRestarted       = Event{626, "worker restarted", "What ran in its earlier life has ended.", SeverityWarning}
	WorkerQuarantineBegun = Event{627, "worker closed for a while", "Runs of several jobs failed or stood still there. Those that have not got far are moved.", SeverityWarning}
	WorkerEntryInvalid    = Event{628, "registry entry not usable", "The entry names no worker. It is passed over.", SeverityWarning}

	PermitsGranted    = Event{630, "permissions granted", "The policy service has told on which of the workers a step may run.", SeverityInfo}
	PermitsNotGranted = Event{631, "permissions not granted", "The policy service did not answer. The step waits and asks again.", SeverityWarning}

	TermBegun       = Event{640, "term begun", "This host has begun an epoch of the journal and restored its facts.", SeverityInfo}
	TermLoaded      = Event{641, "jobs loaded", "All stored jobs are known and placement begins. Unaccounted workers may run tasks of an earlier leader.", SeverityInfo}
	TermAccounted   = Event{642, "workers accounted for", "No task runs that this leader does not know of.", SeverityInfo}
	TermEnded       = Event{643, "term over", "Another host leads. Nothing more is sent.", SeverityWarning}
	FactDamaged     = Event{644, "fact not readable", "A record of the journal was not written by this software. It is passed over.", SeverityError}
	FactNotRecorded = Event{645, "fact not recorded", "A record could not be encoded. Report it with the line.", SeverityError}
	FactsDelayed    = Event{646, "facts not durable yet", "The journal does not take facts. Work goes on; ends are not acknowledged until it does.", SeverityWarning}
	LeaderElected   = Event{647, "leader known", "A host with a higher epoch leads.", SeverityInfo}
	LeaderGone      = Event{648, "leader gone", "Agreed of the Hosts have not heard of the leader for a while. This host tries to lead.", SeverityWarning}
	MemberNotStored = Event{649, "host's record not written", "The store did not take this host's record. The next beat tries again.", SeverityWarning}
	MemberDamaged   = Event{650, "host's record not readable", "A document under Member/ was not written by this software. Inspect the key.", SeverityError}
	MemberRemoved   = Event{651, "host's record removed", "The host has not been heard of for a long time.", SeverityInfo}
	WatchLost       = Event{652, "watch of the store lost", "Changes are not seen until the store answers again.", SeverityWarning}
	WatchRestored   = Event{653, "watch of the store regained", "The copy is up to date again.", SeverityInfo}

	QueuesAccepted   = Event{660, "queues in force", "A higher revision of the queues' configuration is in force at this host.", SeverityInfo}
	QueuesInvalid    = Event{661, "queues' configuration not readable", "The operators' document was not understood. The revision in force stays.", SeverityError}
	QueuesNotFetched = Event{662, "queues not fetched from a peer", "A peer has a higher revision and did not hand it over. The store is watched as well.", SeverityWarning}
	PeersNotSecured  = Event{663, "peers and operators without TLS", "The settings say that the network is trusted.", SeverityWarning}
	SettingsReloaded = Event{664, "settings read again", "The settings file was read after a signal. Changed addresses hold from the next start.", SeverityInfo}
	SettingsKept     = Event{665, "settings not read again", "The settings file is wrong. The former settings stay.", SeverityError}
	TaskWaits        = Event{667, "task waits for room", "The first task in the queue for which no worker has room, and how many workers are excluded by which reason. At most one line a second.", SeverityInfo}
	LoadSummary      = Event{666, "load", "What runs and waits at the leader, once a second. Cores are in thousandths.", SeverityInfo}
	LogLinesDropped  = Event{669, "log lines left out", "Lines were written faster than the limit or than they were read. Dropped counts them since the last such line.", SeverityWarning}
)

var jobEvents = []Event{
	JobAccepted, JobRefused, JobResultUnknown, CancellationStored, JobTakenOver, JobCancelled, JobEnded, JobDamaged, JobNotDeleted,
	TaskStarted, StartRejected, TaskFailed, RunEnded, RunLost, UnexpectedRunStopped, RunSlow, SpeculativeRunAllowed, StopSent, StopUnanswered,
	WorkerPaced, PaceUnanswered, WorkerDraining, WorkerUnregistered, WorkerUnreachable, WorkerReachable, WorkerRestarted, WorkerQuarantineBegun,
	WorkerEntryInvalid, PermitsGranted, PermitsNotGranted,
	TermBegun, TermLoaded, TermAccounted, TermEnded, FactDamaged, FactNotRecorded, FactsDelayed, LeaderElected, LeaderGone,
	MemberNotStored, MemberDamaged, MemberRemoved, WatchLost, WatchRestored,
	QueuesAccepted, QueuesInvalid, QueuesNotFetched, PeersNotSecured, SettingsReloaded, SettingsKept, LoadSummary, TaskWaits, LogLinesDropped,
}
