package meter

// Gauges of the leader: tasks that could run and do not, by reason, and what holds up its control of workers.
var (
	TasksWaitingNotPlacedYet          = Metric{"TasksWaitingNotPlacedYet", "", "Tasks that wait for the next placement round."}
	TasksWaitingJobNotConfirmed       = Metric{"TasksWaitingJobNotConfirmed", "", "Tasks that wait until the leader has confirmed that it led after their job was added."}
	TasksWaitingEarlierRunPossible    = Metric{"TasksWaitingEarlierRunPossible", "", "Tasks that a worker which is not accounted for may run for an earlier leader."}
	TasksWaitingEarlierLeasePossible  = Metric{"TasksWaitingEarlierLeasePossible", "", "Long-running tasks whose last worker may hold a lease of an earlier leader."}
	TasksWaitingUnexpectedRunPossible = Metric{"TasksWaitingUnexpectedRunPossible", "", "Tasks of which a worker may execute a run that the leader does not want."}
	TasksWaitingStartRefused          = Metric{"TasksWaitingStartRefused", "", "Tasks that wait after a worker refused their start as invalid."}
	TasksWaitingAttemptsUsedUp        = Metric{"TasksWaitingAttemptsUsedUp", "", "Tasks that failed as often as their queue allows."}
	TasksWaitingPlacementNotDurable   = Metric{"TasksWaitingPlacementNotDurable", "", "Long-running tasks whose placement the journal has not confirmed."}
	TasksWaitingStartQueued           = Metric{"TasksWaitingStartQueued", "", "Tasks whose start is queued for its worker."}
	TasksWaitingStartNotAnswered      = Metric{"TasksWaitingStartNotAnswered", "", "Tasks whose start has no answer yet."}
	TasksWaitingWorkerNotAnswering    = Metric{"TasksWaitingWorkerNotAnswering", "", "Tasks whose run counts as running on a worker that does not answer."}
	TasksWaitingNoWorkerFits          = Metric{"TasksWaitingNoWorkerFits", "", "Tasks for which the last placement round found no worker."}
	TasksWaitingWorkersHeldFree       = Metric{"TasksWaitingWorkersHeldFree", "", "Tasks for which all workers with capacity were held free for more urgent ones."}
	TasksWaitingWorkersAvoided        = Metric{"TasksWaitingWorkersAvoided", "", "Tasks for which all workers with capacity are ones that they avoid, and another one is waited for."}
	TasksWaitingPermitNotGranted      = Metric{"TasksWaitingPermitNotGranted", "", "Tasks that wait for the policy service."}
	TasksWaitingGangNotComplete       = Metric{"TasksWaitingGangNotComplete", "", "Tasks that wait for others of their gang."}
	TasksWaitingNoWorkerOpen          = Metric{"TasksWaitingNoWorkerOpen", "", "Tasks that wait because no worker accepts tasks."}
	TasksWaitingRequestsSuspended     = Metric{"TasksWaitingRequestsSuspended", "", "Tasks that wait because this host may not send requests to workers."}
	TasksWaitingRoundEndedByMisses    = Metric{"TasksWaitingRoundEndedByMisses", "", "Tasks that had no turn as the placement round ended after too many tasks without a worker."}
	TasksWaitingRoundEndedByWindow    = Metric{"TasksWaitingRoundEndedByWindow", "", "Tasks that had no turn as the window of starts was full."}
	LongRunningTasksOverdue           = Metric{"LongRunningTasksOverdue", "", "Long-running tasks that have waited for longer than 2 s."}
	StalledTasks                      = Metric{"StalledTasks", "", "Long-running tasks that wait although their pool has free capacity for two of them, or for a gang twice, again within each 1.5 s, whatever is reserved or held."}
	LongestStall                      = Metric{"LongestStall", "ms", "Longest time for which such a task has been stalled without a break."}
	StallDemandsOmitted               = Metric{"StallDemandsOmitted", "", "Distinct demands of waiting long-running tasks that the last look for stalled tasks left out."}
	StalledJobs                       = Metric{"StalledJobs", "", "Jobs without a run, of a task that may start, although at most half of the processors of their pool's registered workers are in use and it has free capacity for two such tasks."}
	LongestJobStall                   = Metric{"LongestJobStall", "ms", "Longest time for which such a job has been stalled without a break."}
	WorkersHeld                       = Metric{"WorkersHeld", "", "Workers that placement rounds keep free for tasks that fit nowhere."}
	LongestReservation                = Metric{"LongestReservation", "ms", "Longest time for which such a worker has been held for the same step."}
	CancellationsPending              = Metric{"CancellationsPending", "", "Cancellations of jobs that the leader does not know yet."}
	CancellationsDropped              = Metric{"CancellationsDropped", "", "Cancellations of unknown jobs that were dropped. A counter."}
	NotificationsFailed               = Metric{"NotificationsFailed", "", "Stored jobs and cancellations of which this host could not notify the leader at once. A counter."}
	CancelledRunsOverdue              = Metric{"CancelledRunsOverdue", "", "Runs of cancelled jobs that may go on for longer than a stop takes."}
	ReportsHeldUp                     = Metric{"ReportsHeldUp", "", "Workers whose report has been held up for longer than 1 s by an unknown job."}
)

var waitingMetrics = []Metric{
	TasksWaitingNotPlacedYet,
	TasksWaitingJobNotConfirmed,
	TasksWaitingEarlierRunPossible,
	TasksWaitingEarlierLeasePossible,
	TasksWaitingUnexpectedRunPossible,
	TasksWaitingStartRefused,
	TasksWaitingAttemptsUsedUp,
	TasksWaitingPlacementNotDurable,
	TasksWaitingStartQueued,
	TasksWaitingStartNotAnswered,
	TasksWaitingWorkerNotAnswering,
	TasksWaitingNoWorkerFits,
	TasksWaitingWorkersHeldFree,
	TasksWaitingWorkersAvoided,
	TasksWaitingPermitNotGranted,
	TasksWaitingGangNotComplete,
	TasksWaitingNoWorkerOpen,
	TasksWaitingRequestsSuspended,
	TasksWaitingRoundEndedByMisses,
	TasksWaitingRoundEndedByWindow,
	LongRunningTasksOverdue,
	StalledTasks,
	LongestStall,
	StallDemandsOmitted,
	StalledJobs,
	LongestJobStall,
	WorkersHeld,
	LongestReservation,
	CancellationsPending,
	CancellationsDropped,
	NotificationsFailed,
	CancelledRunsOverdue,
	ReportsHeldUp,
}
