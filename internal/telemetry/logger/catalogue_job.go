package logger

// Events of callers' jobs, of the hosts that schedule them, and of the workers that run them.
var (
	JobAccepted        = Event{600, "job accepted", "The job is stored and was acknowledged to its caller.", SeverityInfo}
	JobRefused         = Event{601, "job refused", "The job was not stored and will not run. StoreAge is the time since the store last answered; from MaxStoreAge on it is not called. StoreCalls and PeerCalls are the calls that were made to the store, and to peers.", SeverityWarning}
	JobResultUnknown   = Event{602, "result of a job submission unknown", "The store may have accepted the job. The caller was told that the result is unknown and should ask again with the same ID. The counts are those of event 601.", SeverityWarning}
	CancellationStored = Event{603, "cancellation stored", "The cancellation of the job is stored and was acknowledged.", SeverityInfo}
	JobTakenOver       = Event{604, "job received by the leader", "The leader schedules the job from now on. Age is the time since an entry host received it.", SeverityInfo}
	JobCancelled       = Event{605, "job cancelled", "The leader stops all runs of the job.", SeverityInfo}
	JobEnded           = Event{606, "job ended", "The end of the job is durable and is reported to callers. A failed job has event 678.", SeverityInfo}
	JobDamaged         = Event{607, "stored job malformed", "A document under Jobs/ was not written by this software. It is skipped. Inspect the key.", SeverityError}
	JobNotDeleted      = Event{608, "job not deleted", "A job whose retention has ended could not be deleted. The next round retries.", SeverityWarning}
	JobNotRead         = Event{609, "job of a reported run not read", "A worker reports a run of a job that the leader does not know, and the store does not return the job. The read is repeated. Until then the run goes on and its end is not acknowledged.", SeverityWarning}

	TaskStarted           = Event{610, "task started", "A worker accepted a run of the task. Waited is the time since the job was due, by the clocks of this host and of the one that accepted it. A task that waited at this leader for longer than a report of waiting tasks takes to see it has Queued, the time by this leader's clock alone, and Reason, the one that reports gave for longest, for ReasonFor. FreeCores the free capacity that is left on the worker, in thousandths of a core. A long-running task that waited when the capacity for it became free there has FreeFor, the time since then.", SeverityInfo}
	StartRejected         = Event{611, "start request failed", "The error says whether the worker refused the request or did not answer. A run without an answer is stopped before the task starts on another worker.", SeverityWarning}
	TaskFailed            = Event{612, "run failed", "A run ended with a fault. Failures is the number of failures of the task, Attempts that after which its job fails (0 for no limit), Distrust the worker's fault score.", SeverityWarning}
	RunEnded              = Event{613, "run ended early", "A run ended without a result. Resumes is true when the next run continues from a checkpoint.", SeverityInfo}
	RunLost               = Event{614, "run lost", "A run ended without a report from its worker. Reason says how the leader detected it.", SeverityWarning}
	UnexpectedRunStopped  = Event{615, "unexpected run stopped", "The worker reports a run that this leader did not place and does not need.", SeverityWarning}
	RunSlow               = Event{616, "straggler detected", "A run is stalled or takes much longer than other runs of its step, and is moved to another worker.", SeverityWarning}
	SpeculativeRunAllowed = Event{617, "speculative copy allowed", "A second run of the task may start beside one that is slow or whose worker is leaving.", SeverityInfo}
	StopSent              = Event{618, "stop requested", "The worker was asked to stop a run. The run's resources stay reserved until the worker reports its end.", SeverityInfo}
	StopUnanswered        = Event{619, "stop request failed", "The worker did not accept the request. It is repeated until the worker answers or the run has ended.", SeverityWarning}
	WorkerPaced           = Event{620, "best-effort work paced", "The pace of the worker's best-effort work has changed to Percent of full speed. Strain is the relative load of the latency-critical task that is closest to its tail-latency target, Caused the part that best-effort work adds.", SeverityInfo}
	PaceUnanswered        = Event{621, "pace request failed", "The worker did not accept the request. It is repeated with the worker's next report.", SeverityWarning}
	WorkerDraining        = Event{622, "worker draining", "The worker is leaving and gets no new tasks.", SeverityInfo}
	WorkerUnregistered    = Event{623, "worker no longer registered", "The worker gets no new tasks. Its runs count as running until they have ended for certain.", SeverityWarning}
	WorkerUnreachable     = Event{624, "job worker unreachable", "The worker does not answer. Its runs count as running until its lease expires, after LeaseLeft.", SeverityWarning}
	WorkerReachable       = Event{625, "job worker reachable again", "The worker answers and its runs are known again.", SeverityInfo}
	WorkerRestarted       = Event{626, "worker restarted", "The worker reports a new incarnation. All runs of the previous incarnation have ended.", SeverityWarning}
	WorkerQuarantineBegun = Event{627, "job worker quarantined", "Runs of several jobs failed or stalled on the worker. It gets no tasks for a time, and runs that have made little progress are moved.", SeverityWarning}
	WorkerEntryInvalid    = Event{628, "registry entry malformed", "The entry does not describe a worker. It is skipped. Inspect the key.", SeverityWarning}

	PermitsGranted     = Event{630, "permits received", "The policy service has answered on which of the workers a step may run.", SeverityInfo}
	PermitsNotGranted  = Event{631, "permit request failed", "The policy service did not answer. The step waits and the request is retried. Check the service.", SeverityWarning}
	EarlierQuorumsLost = Event{632, "quorums of earlier leaders lost", "So many of the processes that the last Terms leaders named in the journal know a later epoch, or have ended, that none of these leaders is confirmed any more. Workers that do not answer may run tasks of earlier leaders for InheritedLease from now on.", SeverityInfo}
	ElectorateNamed    = Event{633, "electorate named", "While the store does not answer, this leader is confirmed by more than half of Hosts, of which the journal is to name a process for each of Voters.", SeverityInfo}

	TermBegun       = Event{640, "term begun", "This host has begun an epoch of the journal as leader and restored the facts in it. Workers that do not answer may run tasks of earlier leaders for InheritedLease from now on, unless the journal bounds their leases.", SeverityInfo}
	TermLoaded      = Event{641, "jobs loaded", "All stored jobs are loaded and placement begins. Unaccounted workers may still run tasks of an earlier leader.", SeverityInfo}
	TermAccounted   = Event{642, "workers accounted for", "No task runs that this leader does not know of.", SeverityInfo}
	TermEnded       = Event{643, "term ended", "Another host is the leader. This host sends no more requests to workers.", SeverityWarning}
	FactDamaged     = Event{644, "journal fact malformed", "A record of the journal was not written by this software. It is skipped.", SeverityError}
	FactNotRecorded = Event{645, "journal fact not encoded", "A fact could not be encoded and was not recorded. This is a bug. Report it with the log line.", SeverityError}
	FactsDelayed    = Event{646, "journal facts delayed", "The journal does not accept facts. Scheduling continues, but ends of runs are not acknowledged until the journal does. Check the store.", SeverityWarning}
	LeaderElected   = Event{647, "leader elected", "A host leads with a higher epoch.", SeverityInfo}
	LeaderGone      = Event{648, "leader unreachable", "Agreed of the Hosts have received no heartbeat from the leader for a while, and the addresses of Ended refuse connections. This host tries to become leader.", SeverityWarning}
	MemberNotStored = Event{649, "member record not written", "The store did not accept this host's record. The next heartbeat retries.", SeverityWarning}
	MemberDamaged   = Event{650, "member record malformed", "A document under Member/ was not written by this software. Inspect the key.", SeverityError}
	MemberRemoved   = Event{651, "member record deleted", "The host has sent no heartbeat for a long time.", SeverityInfo}
	WatchLost       = Event{652, "store watch failed", "Changes are not seen until the store answers again. Logged for the first failure in a row and each time their number has doubled.", SeverityWarning}
	WatchRestored   = Event{653, "store watch recovered", "The local copy is up to date again, after Failures failed calls.", SeverityInfo}

	LeaseBounded          = Event{654, "end of a silent worker's lease recorded", "The worker does not answer. The journal has, from now on, that its lease is over after LeaseLeft, so that a later leader does not wait anew. The lease is not extended before the journal has a new grant. Clock is the time on the journal's clock.", SeverityInfo}
	PredecessorStopped    = Event{655, "last leader has stopped", "The last leader is known to send no more requests. Workers that do not answer may run tasks of earlier leaders for InheritedLease from now on.", SeverityInfo}
	TermEndNotRecorded    = Event{656, "end of the term not recorded", "The journal did not accept the record in time. The next leader may wait longer for workers that do not answer.", SeverityWarning}
	EarlierLeadersDeposed = Event{657, "earlier leaders deposed", "So many hosts know the epoch of this leader that earlier ones do not find a majority that confirms them. Workers that do not answer may run tasks of earlier leaders for InheritedLease from now on.", SeverityInfo}
	RefusalsMislead       = Event{658, "refused connections disregarded", "A host whose address refused connections leads. The network rejects connections to hosts that run. Check the firewalls between the hosts.", SeverityWarning}
	LeadersBeforeDeposed  = Event{659, "leaders before the last one deposed", "The leaders before the last one extend no leases any more, as most hosts have known the last one for a while. Workers that do not answer may run tasks of these for EarlierLease, and of the last one for InheritedLease from now on.", SeverityInfo}

	QueuesAccepted   = Event{660, "queue configuration accepted", "A higher revision of the queue configuration is in force at this host. Lag is the time since a peer first reported a revision higher than the one before; it is zero if none did.", SeverityInfo}
	QueuesInvalid    = Event{661, "invalid queue configuration refused", "The operators' document could not be parsed. The revision in force does not change. Correct the document.", SeverityError}
	QueuesNotFetched = Event{662, "queue configuration not fetched from a peer", "A peer reported a higher revision but did not send it. The host also watches the store for it.", SeverityWarning}
	PeersNotSecured  = Event{663, "TLS disabled for peers and operators", "The setting TrustedNetwork declares that the network is trusted.", SeverityWarning}
	SettingsReloaded = Event{664, "settings checked", "The settings file was read again after a signal and is valid. Changes take effect at the next start.", SeverityInfo}
	SettingsKept     = Event{665, "settings file invalid", "The settings file was read again after a signal and is invalid. The current settings stay in use. Correct the file.", SeverityError}
	TaskWaits        = Event{667, "task waits for capacity", "No worker has capacity for the task, which is the first such in the queue. The counts say how many workers are excluded by which reason. Logged at most once a second.", SeverityInfo}
	LoadSummary      = Event{666, "load", "Running and waiting work at the leader, once a second. Cores are in thousandths.", SeverityInfo}
	LogLinesDropped  = Event{669, "log lines dropped", "Lines were written faster than the rate limit or than the log was read. Dropped is their number since the last such line.", SeverityWarning}

	LeaderUsage             = Event{679, "usage of the leader", "What the decisions of the leader cost in the last Interval. Processor is the processor time of the whole process. Placement rounds took RoundTime in all and computed CostsComputed costs of a worker for a task. Reports waited for the rounds and for each other (MeanLockWait). Starts were queued for their workers for MeanQueued and answered after MeanAnswer; Unanswered ones got no answer in time.", SeverityInfo}
	LongRunningTaskWaits    = Event{670, "long-running task waits", "The task could run and has not for longer than 2 s. Reason says why, ReasonFor since when a report has given this reason, HeldFor until when it applies at the latest, Worker which worker it is about. LastTurn is the time since a placement round reached the step. Waited counts from when this leader queued the task or the worker of its run stopped answering. LastEpoch is the epoch in which LastRun, the last run known of the task, was placed: the task has waited through the epochs after it. HeldWorker is a worker with capacity that the last round held for the task Holder, if that is the reason. Logged again after 5 s or with another reason, at most 20 times a second; Omitted is how many lines were left out.", SeverityWarning}
	TasksWaitLong           = Event{671, "tasks wait", "Tasks that could run have not for longer than 2 s, for this reason. Oldest is the one that has waited longest, LongRunning how many of the tasks are long-running. Logged once a second for each reason.", SeverityInfo}
	CancellationIneffective = Event{672, "cancellation without a job to end", "The leader heard of the cancellation from Source. The job is not known yet, and is cancelled when it is added, or it has ended.", SeverityInfo}
	CancellationDropped     = Event{673, "cancellation dropped", "Too many cancellations wait for jobs that the leader does not know. Each job that is added within the retention is checked against the store before it starts. Look for what cancels jobs that do not exist.", SeverityWarning}
	CancelledRunGoesOn      = Event{674, "run goes on after its cancellation", "The worker may still execute a run of a cancelled job, longer than a stop takes. Stops is the number of stop requests with a result, LastAnswer the last one's, ListedAgo the time since the worker last listed the run. Expected is false for a run that this leader did not place or adopt.", SeverityWarning}
	ReportHeldUp            = Event{675, "rows of worker reports wait", "Runs or ends of jobs that the leader does not know wait until these jobs have been read from the store. The rest of the reports counts, and the leases are renewed. Worker is the one of so many Workers that has waited longest. Check the store.", SeverityWarning}
	RenewalsLate            = Event{676, "lease renewals held up", "The leases of so many workers were not extended for longer than half a lease although the workers answer. Phase says what the leader waits for, Worker is the one that waits longest, LeaseLeft the rest of its lease. Logged once a second for each phase.", SeverityWarning}
	LeaderNotNotified       = Event{677, "leader not notified of a cancellation", "The cancellation is stored. The leader hears of it from its watch of the store.", SeverityInfo}
	JobFailed               = Event{678, "job failed", "A task has failed as often as the queue allows, see the lines 612 of the job. The end of the job is durable and is reported to callers.", SeverityWarning}
)

var jobEvents = []Event{
	JobAccepted, JobRefused, JobResultUnknown, CancellationStored, JobTakenOver, JobCancelled, JobEnded, JobDamaged, JobNotDeleted, JobNotRead,
	TaskStarted, StartRejected, TaskFailed, RunEnded, RunLost, UnexpectedRunStopped, RunSlow, SpeculativeRunAllowed, StopSent, StopUnanswered,
	WorkerPaced, PaceUnanswered, WorkerDraining, WorkerUnregistered, WorkerUnreachable, WorkerReachable, WorkerRestarted, WorkerQuarantineBegun,
	WorkerEntryInvalid, PermitsGranted, PermitsNotGranted, EarlierQuorumsLost, ElectorateNamed,
	TermBegun, TermLoaded, TermAccounted, TermEnded, FactDamaged, FactNotRecorded, FactsDelayed, LeaderElected, LeaderGone,
	MemberNotStored, MemberDamaged, MemberRemoved, WatchLost, WatchRestored, LeaseBounded, PredecessorStopped, TermEndNotRecorded, EarlierLeadersDeposed, RefusalsMislead, LeadersBeforeDeposed,
	QueuesAccepted, QueuesInvalid, QueuesNotFetched, PeersNotSecured, SettingsReloaded, SettingsKept, LoadSummary, TaskWaits, LogLinesDropped,
	LongRunningTaskWaits, TasksWaitLong, CancellationIneffective, CancellationDropped, CancelledRunGoesOn, ReportHeldUp, RenewalsLate, LeaderNotNotified, JobFailed, LeaderUsage,
}
